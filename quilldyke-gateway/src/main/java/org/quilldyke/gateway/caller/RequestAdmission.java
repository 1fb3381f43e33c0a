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
package org.quilldyke.gateway.caller;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpRequest;
import java.util.Optional;
import java.util.OptionalLong;
import org.quilldyke.QuilldykeException;
import org.quilldyke.ResultCode;
import org.quilldyke.caller.ForwardRequest;
import org.quilldyke.caller.RequestFingerprint;
import org.quilldyke.caller.Step;
import org.quilldyke.gateway.dialect.CallerFacts;
import org.quilldyke.manifest.Organisation;
import org.quilldyke.manifest.Route;
import org.quilldyke.manifest.RouteTable;

/** Parses a caller's request and checks that the configuration allows it. */
final class RequestAdmission {
    /** Retry delay of requests that are refused for lack of a confirmed configuration. */
    static final long UNCONFIRMED_RETRY_MILLIS = 800;

    private RequestAdmission() {}

    /**
     * Returns the request to forward.
     *
     * @param entry holds the configuration
     * @param head the head of the caller's request
     * @param body its body, whose reader index isn't changed
     * @param arrivedAt when it was read, in milliseconds of the entry's clock
     * @throws QuilldykeException if the configuration isn't known or confirmed, or holds no such
     *     route or key, or if the head can't be parsed; nothing has run then
     */
    static ForwardRequest admit(EntryContext entry, HttpRequest head, ByteBuf body, long arrivedAt)
            throws QuilldykeException {
        RouteTable routes = entry.routes();
        if (routes == null) {
            throw QuilldykeException.notRunRetryAfter(
                    ResultCode.NO_CONFIGURATION, "", UNCONFIRMED_RETRY_MILLIS);
        }
        CallerFacts facts = entry.dialect().callers().read(head);
        String path = head.uri().split("[?#]", 2)[0];
        Optional<Route> found = routes.route(head.headers().get(HttpHeaderNames.HOST), path);
        boolean anonymousAllowed =
                found.isPresent() && (found.get().allowsAnonymous() || !routes.requiresKeys());
        if (!anonymousAllowed && !entry.isConfigurationConfirmed()) {
            throw unconfirmed();
        }
        if (found.isEmpty()) {
            throw denied(entry, ResultCode.UNKNOWN_PATH, path);
        }
        Route route = found.get();
        Optional<Organisation> owner = facts.key().flatMap(routes::organisationOfKey);
        if (!anonymousAllowed && owner.isEmpty()) {
            throw denied(entry, ResultCode.UNKNOWN_TOKEN, "");
        }
        // A resumed stream stays at the service that was drawn for the attempt that began it.
        String routingId =
                facts.lastEvent().isPresent() ? facts.resumes().orElse(facts.id()) : facts.id();
        long timeoutMillis =
                Math.min(route.timeoutMillis(), facts.millisLeft().orElse(Long.MAX_VALUE));
        return new ForwardRequest(
                facts.id(),
                route,
                route.serviceFor(routingId.hashCode()),
                owner,
                routes.sharedCacheScope(),
                route.carriesPrompts() ? facts.prompt() : Optional.empty(),
                body.readableBytes(),
                arrivedAt,
                arrivedAt + timeoutMillis,
                fingerprint(owner, head, body),
                facts.lastEvent().orElse(-1),
                quotaUnits(owner, facts));
    }

    private static long quotaUnits(Optional<Organisation> owner, CallerFacts facts) {
        OptionalLong tokens =
                facts.prompt().isEmpty()
                        ? OptionalLong.empty()
                        : OptionalLong.of(facts.prompt().get().totalTokens());
        return owner.flatMap(Organisation::quota).map(quota -> quota.cost(tokens)).orElse(0L);
    }

    /**
     * Returns the denial of an unknown path or key. Callers don't retry after it, so it needs a
     * current configuration: a newer one may contain the path or key.
     */
    private static QuilldykeException denied(EntryContext entry, ResultCode code, String detail) {
        return entry.isConfigurationCurrent()
                ? QuilldykeException.notRun(code, detail)
                : unconfirmed();
    }

    private static QuilldykeException unconfirmed() {
        return QuilldykeException.notRunRetryAfter(
                ResultCode.KEYS_UNCONFIRMED, "", UNCONFIRMED_RETRY_MILLIS);
    }

    /** Returns the refusal of a request whose key can't be confirmed when it is to be sent. */
    static Step.Refuse keyUnconfirmed(EntryContext entry) {
        return new Step.Refuse(
                ResultCode.KEYS_UNCONFIRMED,
                UNCONFIRMED_RETRY_MILLIS,
                "confirmation age in ms: " + entry.confirmationAgeMillis());
    }

    private static RequestFingerprint fingerprint(
            Optional<Organisation> owner, HttpRequest head, ByteBuf body) {
        return RequestFingerprint.of(
                owner.map(Organisation::name).orElse(""),
                head.method().name(),
                head.headers().get(HttpHeaderNames.HOST, ""),
                head.uri(),
                body.nioBuffer());
    }
}
