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

import org.quilldyke.routing.TargetSelector;

/**
 * Control's word that a target has started again, judged by what is heard of an answer that had
 * begun there.
 *
 * <p>Whoever reports under a target's id with a later birth makes that word, and needn't be right.
 * A target that has ended sends nothing, but for what was on its way.
 *
 * @param receivedAt when the word came
 */
public record RestartReport(long receivedAt) {
    /**
     * Milliseconds without a sign after which the word is believed, and after which what comes
     * can't have been on its way when the word came: as long as a target that was heard counts as
     * alive.
     */
    static final long VERIFICATION_MILLIS = TargetSelector.RESPONDING_MILLIS;

    /**
     * Returns whether the target goes on with its answer: then its silence counts as anyone's.
     *
     * @param lastDataAt when it was heard last on this answer
     */
    public boolean isRefuted(long lastDataAt) {
        return lastDataAt - receivedAt >= VERIFICATION_MILLIS;
    }

    /**
     * Returns when the word is believed if nothing more is heard.
     *
     * @param lastDataAt when the target was heard last on this answer
     */
    public long acceptedAt(long lastDataAt) {
        return Math.max(receivedAt, lastDataAt) + VERIFICATION_MILLIS;
    }
}
