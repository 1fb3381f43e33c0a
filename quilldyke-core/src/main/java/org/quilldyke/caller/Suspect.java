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

import java.util.Set;

/**
 * A request that targets were running when they crashed, or a part of its prompt.
 *
 * @param request its fingerprint
 * @param standing how the request is treated
 * @param targets the targets that it may have crashed
 * @param refusedUntil when the refusal expires, in milliseconds of this process's clock; from then
 *     on one crash is sufficient to refuse the request again
 * @param refusals the number of refusals decided so far, 0 if it is only watched
 */
public record Suspect(
        RequestFingerprint request,
        Standing standing,
        Set<String> targets,
        long refusedUntil,
        int refusals) {
    /** How a suspect is treated. */
    public enum Standing {
        /** It is forwarded; instances report its completion. */
        WATCHED,
        /** It is not forwarded for a limited time. */
        REFUSED,
        /** It has completed, or another request explains the crashes. */
        CLEARED
    }

    /** Returns the request as cleared of the suspicion. */
    Suspect cleared() {
        return new Suspect(request, Standing.CLEARED, targets, 0, refusals);
    }
}
