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

import org.quilldyke.routing.Choice;
import org.quilldyke.routing.TargetSelector;

/** One sending of a request to a target, and what the target's load counts of it. */
final class TargetRun {
    private final TargetSelector mTargets;
    private final Choice mChoice;
    private boolean mSent;
    private boolean mFirstOnTarget;
    private boolean mPromptRead;
    private boolean mFinished;

    private TargetRun(TargetSelector targets, Choice choice) {
        mTargets = targets;
        mChoice = choice;
    }

    /** Returns a run that is about to be sent, and counts for its target's load. */
    static TargetRun open(TargetSelector targets, Choice choice, ForwardRequest request, long now) {
        targets.onDispatch(choice, request, now);
        return new TargetRun(targets, choice);
    }

    String target() {
        return mChoice.target();
    }

    /**
     * Notes that the first byte leaves: from now on it may run.
     *
     * @param firstOnTarget whether its target has not run the request before, as far as is known
     */
    void onSending(boolean firstOnTarget) {
        mSent = true;
        mFirstOnTarget = firstOnTarget;
    }

    /** Returns whether its target has not run the request if it doesn't run it now. */
    boolean isFirstOnTarget() {
        return mFirstOnTarget;
    }

    /** Returns whether a byte may have reached the target. */
    boolean isSent() {
        return mSent;
    }

    /** Notes that the prompt is read, or never will be. */
    void onPromptRead() {
        if (!mPromptRead) {
            mPromptRead = true;
            mTargets.onPrefillEnd(mChoice);
        }
    }

    /** Notes that it is over, whatever became of it. */
    void finish() {
        if (!mFinished) {
            mFinished = true;
            onPromptRead();
            mTargets.onFinished(mChoice);
        }
    }
}
