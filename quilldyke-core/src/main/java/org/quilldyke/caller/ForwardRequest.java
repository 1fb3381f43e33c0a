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

import java.util.LinkedHashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.quilldyke.manifest.Organisation;
import org.quilldyke.manifest.Route;

/**
 * The properties of a caller's request that determine how it is forwarded.
 *
 * @param id the caller's id for this attempt
 * @param route the route that the request matches
 * @param service the service that receives it
 * @param organisation the organisation that sends it, if it was sent with a key
 * @param sharedCacheScope the cache scope of organisations that share cached prompts
 * @param prompt its prompt, if it has one
 * @param bodyBytes the size of its body
 * @param arrivedAt when it was read
 * @param deadline when it expires: the caller's own deadline or the timeout of the route
 * @param fingerprint digest of the request, independent of its id
 * @param resumeAfterEvent the number of the event after which its stream continues, -1 to start at
 *     the beginning
 * @param quotaUnits the units that it counts against the quota of its organisation; 0 if there is
 *     no quota
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
        long resumeAfterEvent,
        long quotaUnits) {
    /** Further parts of a prompt are not examined as causes of crashes. */
    private static final int MAX_SUSPECT_PARTS = 128;

    /** With less time left, a retry cannot succeed. */
    private static final long MIN_MILLIS_TO_RETRY = 30;

    /**
     * Returns what may be found to crash targets: the request, and the parts of its prompt that
     * other requests may share.
     */
    public Set<RequestFingerprint> suspectFingerprints() {
        Set<RequestFingerprint> fingerprints = new LinkedHashSet<>();
        fingerprints.add(fingerprint);
        prompt.map(Prompt::sharedParts).orElse(List.of()).stream()
                .limit(MAX_SUSPECT_PARTS)
                .map(part -> RequestFingerprint.ofPromptPart(part.id()))
                .forEach(fingerprints::add);
        return fingerprints;
    }

    /** Returns whether enough time is left to send the request once more. */
    boolean hasTimeToRetry(long now) {
        return now + MIN_MILLIS_TO_RETRY < deadline;
    }

    /** Returns the priority of the request; 0 is the highest. */
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

    /**
     * Returns the scope within which the request shares cached prompts: its organisation, or the
     * one shared by organisations that are not isolated.
     */
    public String cacheScope() {
        return organisation
                .filter(Organisation::isolated)
                .map(Organisation::name)
                .orElse(sharedCacheScope);
    }
}
