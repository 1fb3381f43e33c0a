/*
 * Copyright 2026 The quilldyke authors
 *
 * Licensed under the Apache License, Version 2.0 (the "License");
 * you may not use this file except in compliance with the License.
 * You may obtain a copy of the License at
 *
 *     http://www.apache.org/licenses/LICENSE-2.0
 *
 * Unless required by applicable law or agreed to in writing, software
 * distributed under the License is distributed on an "AS IS" BASIS,
 * WITHOUT WARRANTIES OR CONDITIONS OF ANY KIND, either express or implied.
 * See the License for the specific language governing permissions and
 * limitations under the License.
 */
package org.quilldyke.manifest;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.util.List;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.quilldyke.QuilldykeException;
import org.quilldyke.ResultCode;

class ManifestRulesTest {
    @Test
    void validManifestIsAccepted() {
        assertThat(ManifestRules.findViolation(manifest(List.of(route("a", "/x/", "s", 1)))))
                .isEqualTo(Optional.empty());
    }

    @Test
    void eachViolationIsDescribed() {
        assertViolation("unknown service", route("a", "/x/", "t", 1));
        assertViolation("no positive weight", route("a", "/x/", "s", 0));
        assertViolation("negative weight", route("a", "/x/", "s", -1));
        assertViolation("not start and end with a slash", route("a", "/x", "s", 1));
        assertViolation(
                "same host and path prefix as another",
                route("a", "/x/", "s", 1),
                route("b", "/x/", "s", 1));
        assertViolation("no positive timeout", routeWithTimeout(0));
    }

    @Test
    void keySharedByTwoOrganisationsIsRejected() {
        Manifest manifest =
                new Manifest(
                        1,
                        List.of(),
                        List.of(),
                        List.of(organisation("a", "k1", "k2"), organisation("b", "k2")),
                        Limits.defaults());

        QuilldykeException e =
                assertThrows(QuilldykeException.class, () -> ManifestRules.check(manifest));

        assertThat(e.code()).isEqualTo(ResultCode.MANIFEST_INVALID);
        assertThat(e).hasMessageThat().contains("shares a key");
    }

    @Test
    void longestPrefixOfTheHostWins() {
        RouteTable table =
                RouteTable.of(
                        manifest(
                                List.of(
                                        route("short", "/x/", "s", 1),
                                        route("long", "/x/y/", "s", 1))));

        assertThat(table.route("H.example:80", "/x/y/z").map(Route::name)).hasValue("long");
        assertThat(table.route("h.example", "/x/y").map(Route::name)).hasValue("short");
        assertThat(table.route("h.example", "/z/").isPresent()).isFalse();
        assertThat(table.route("other.example", "/x/").isPresent()).isFalse();
    }

    @Test
    void servicesAreChosenByWeight() {
        Route route =
                new Route(
                        "a",
                        "h",
                        "/",
                        RequestKind.IDEMPOTENT,
                        1000,
                        100,
                        100,
                        0,
                        List.of(new Route.Share("s", 9), new Route.Share("t", 1)),
                        2,
                        false,
                        false,
                        false);
        int drawsOfT = 0;
        for (long draw = -50; draw < 50; draw++) {
            drawsOfT += route.serviceFor(draw).equals("t") ? 1 : 0;
        }
        assertThat(drawsOfT).isEqualTo(10);
    }

    /** Cached prompts of an organisation are out of reach of others once it is isolated. */
    @Test
    void sharedCacheScopeChangesWithIsolation() {
        Organisation shared =
                new Organisation("o", Set.of("k"), OptionalInt.empty(), false, Optional.empty());
        Organisation isolated =
                new Organisation("o", Set.of("k"), OptionalInt.empty(), true, Optional.empty());

        assertThat(sharedCacheScope(shared)).isEqualTo(sharedCacheScope(organisation("p", "q")));
        assertThat(sharedCacheScope(isolated)).isNotEqualTo(sharedCacheScope(shared));
    }

    private static String sharedCacheScope(Organisation organisation) {
        return RouteTable.of(
                        new Manifest(
                                1, List.of(), List.of(), List.of(organisation), Limits.defaults()))
                .sharedCacheScope();
    }

    private static void assertViolation(String expectedPart, Route... routes) {
        assertThat(ManifestRules.findViolation(manifest(List.of(routes))).orElse(""))
                .contains(expectedPart);
    }

    private static Manifest manifest(List<Route> routes) {
        return new Manifest(
                1,
                routes,
                List.of(new Service("s", "/", 10, Optional.empty(), Optional.empty())),
                List.of(organisation("a", "k")),
                Limits.defaults());
    }

    private static Organisation organisation(String name, String... keys) {
        return new Organisation(name, Set.of(keys), OptionalInt.empty(), false, Optional.empty());
    }

    private static Route route(String name, String prefix, String service, int weight) {
        return new Route(
                name,
                "h.example",
                prefix,
                RequestKind.IDEMPOTENT,
                1000,
                100,
                100,
                0,
                List.of(new Route.Share(service, weight)),
                1,
                false,
                false,
                false);
    }

    private static Route routeWithTimeout(long millis) {
        return new Route(
                "a",
                "h.example",
                "/x/",
                RequestKind.IDEMPOTENT,
                millis,
                100,
                100,
                0,
                List.of(new Route.Share("s", 1)),
                1,
                false,
                false,
                false);
    }
}
