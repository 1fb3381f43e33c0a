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
package org.quilldyke.caller;

import java.util.Optional;
import org.quilldyke.manifest.Organisation;
import org.quilldyke.manifest.Route;

/**
 * A caller's request, as far as forwarding it is decided by it.
 *
 * @param id the caller's id for this attempt of its
 * @param route the route that it takes
 * @param service the service that it goes to
 * @param organisation who sends it, if it showed a key
 * @param sharedCacheScope the name under which organisations share cached prompts
 * @param prompt its prompt, if it has one
 * @param bodyBytes the size of its body
 * @param arrivedAt when it was read
 * @param deadline when its time is over: the caller's own deadline or the route's timeout
 * @param fingerprint names what it asks for, whatever its id
 * @param resumeAfterEvent the event after which its stream goes on, -1 to begin at the start
 */
public record ForwardRequest(
        String id,
        Route route,
        String service,
        Optional<Organisation> organisation,
        String sharedCacheScope,
        Optional<Prompt> prompt,
        int bodyBytes,
        long arrivedAt,
        long deadline,
        RequestFingerprint fingerprint,
        long resumeAfterEvent) {
    /** Returns the rank of the request; 0 goes first. */
    public int priority() {
        return organisation
                .flatMap(
                        o ->
                                o.priority().isPresent()
                                        ? Optional.of(o.priority())
                                        : Optional.empty())
                .map(java.util.OptionalInt::getAsInt)
                .orElse(route.priority());
    }

    /** Returns whose cached prompts the request shares: its organisation's own, or the common. */
    public String cacheScope() {
        return organisation
                .filter(Organisation::isolated)
                .map(Organisation::name)
                .orElse(sharedCacheScope);
    }
}
