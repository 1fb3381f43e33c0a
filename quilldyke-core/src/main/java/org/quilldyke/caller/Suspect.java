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
 * A request that targets worked on as they crashed.
 *
 * @param request which
 * @param standing what follows from it
 * @param targets those that it may have crashed
 * @param refusedUntil the end of the time for which it is refused, in milliseconds of this
 *     process's clock; from then on one crash is enough to refuse it again
 * @param refusals how often it was found to crash targets, 0 if it is only watched
 */
public record Suspect(
        RequestFingerprint request,
        Standing standing,
        Set<String> targets,
        long refusedUntil,
        int refusals) {
    /** What follows from a suspicion. */
    public enum Standing {
        /** It is sent on; whoever sees that it runs to its end says so. */
        WATCHED,
        /** It isn't sent on for a while. */
        REFUSED,
        /** It has run to its end, or another request explains the crashes. */
        CLEARED
    }

    /** Returns the request as no suspect any more. */
    Suspect cleared() {
        return new Suspect(request, Standing.CLEARED, targets, 0, refusals);
    }
}
