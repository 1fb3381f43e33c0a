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

import org.quilldyke.caller.RequestFingerprint;
import org.quilldyke.caller.TargetCrash;

/** Receives an entry's observations about crashes of targets, on the traffic thread. */
public interface CrashListener {
    /** A listener that does nothing. */
    CrashListener NONE =
            new CrashListener() {
                @Override
                public void onCrash(TargetCrash crash) {}

                @Override
                public void onSuspectCompleted(RequestFingerprint request, long completedAt) {}
            };

    /** A target has terminated while it ran requests. */
    void onCrash(TargetCrash crash);

    /**
     * A request that is suspected to crash targets has completed.
     *
     * @param completedAt when it completed, in milliseconds of the entry's clock
     */
    void onSuspectCompleted(RequestFingerprint request, long completedAt);
}
