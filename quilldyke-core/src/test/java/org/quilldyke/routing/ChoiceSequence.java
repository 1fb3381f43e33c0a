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
package org.quilldyke.routing;

import com.dynatrace.hash4j.hashing.Hashing;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.Set;
import java.util.SplittableRandom;
import org.quilldyke.caller.ForwardRequest;
import org.quilldyke.caller.Prompt;
import org.quilldyke.caller.RequestFingerprint;
import org.quilldyke.engine.TargetReport;
import org.quilldyke.manifest.Organisation;
import org.quilldyke.manifest.RequestKind;
import org.quilldyke.manifest.Route;

/** A drawn sequence of reports, loads, failures and choices, and a digest of all choices. */
final class ChoiceSequence {
    private static final int CHOICES = 4000;
    private static final int TARGETS = 12;

    private ChoiceSequence() {}

    /** Plays the sequence and returns the digest of its choices. */
    static long play(TargetSelector selector) {
        SplittableRandom random = new SplittableRandom(5);
        for (int i = 0; i < TARGETS; i++) {
            selector.onReport(report("t" + i, "s", "v1", false));
        }
        long digest = 0;
        for (int i = 0; i < CHOICES; i++) {
            long now = 10L * i;
            String target = "t" + random.nextInt(TARGETS);
            switch (random.nextInt(8)) {
                case 0 -> selector.onFailure(target, now);
                case 1 -> selector.onOverloaded(target, now);
                case 2 ->
                        selector.onOtherInstancesLoad(
                                target, random.nextInt(40), random.nextInt(20_000));
                case 3 -> selector.onLoading(target, random.nextBoolean(), now);
                case 4 -> selector.onFreeConnections(target, random.nextInt(3));
                default -> selector.onDataReceived(target, now);
            }
            Set<String> excluded = new HashSet<>();
            if (random.nextInt(4) == 0) {
                excluded.add("t" + random.nextInt(TARGETS));
            }
            ForwardRequest request = request("id-" + i, random.nextBoolean(), now);
            Optional<Choice> choice = selector.choose(request, excluded, now);
            choice.ifPresent(chosen -> selector.onDispatch(chosen, request, now));
            if (i % 3 == 0) {
                choice.ifPresent(selector::onPrefillEnd);
                choice.ifPresent(selector::onFinished);
            }
            String outcome =
                    choice
                            + " "
                            + selector.chooseSuccessor(request, excluded, 20, now)
                            + " "
                            + selector.hasCandidate(request, excluded, now);
            digest = Hashing.xxh3_64().hashLongLongToLong(digest, hash(comparable(outcome)));
        }
        return digest;
    }

    static TargetReport report(String id, String service, String version, boolean leaving) {
        return new TargetReport(
                id, service, id + ":1", "z", version, 64, leaving, 0, Map.of("m", 1L), 1);
    }

    static ForwardRequest request(String id, boolean hasPrompt, long now) {
        Prompt prompt =
                new Prompt(
                        "m", 4000, 10, List.of(new Prompt.Part(1, 2500), new Prompt.Part(2, 1500)));
        Route route =
                new Route(
                        "r",
                        "h",
                        "/",
                        RequestKind.STREAMING,
                        4000,
                        600,
                        500,
                        1,
                        List.of(new Route.Share("s", 1)),
                        2,
                        false,
                        true,
                        true);
        return new ForwardRequest(
                id,
                route,
                "s",
                Optional.of(
                        new Organisation(
                                "o", Set.of("k"), OptionalInt.empty(), false, Optional.empty())),
                "",
                hasPrompt ? Optional.of(prompt) : Optional.empty(),
                0,
                now,
                now + 4000,
                new RequestFingerprint(1, 1),
                -1,
                0);
    }

    /**
     * Returns the text of choices without a field that is newer than the expected digests. It is
     * false unless a target limits its requests.
     */
    static String comparable(String choices) {
        return choices.replace(", borrowsPermit=false", "");
    }

    private static long hash(String text) {
        return Hashing.xxh3_64().hashCharsToLong(text);
    }
}
