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
import org.quilldyke.routing.Choice;
import org.quilldyke.routing.TargetSelector;

/** One attempt of a request at a target, and its contribution to the load of the target. */
final class TargetRun {
    private final TargetSelector mTargets;
    private final Choice mChoice;
    private final String mSoftwareVersion;
    private boolean mSent;
    private boolean mFirstOnTarget;
    private boolean mPrefillEnded;
    private boolean mFinished;

    private TargetRun(TargetSelector targets, Choice choice) {
        mTargets = targets;
        mChoice = choice;
        mSoftwareVersion = targets.softwareVersion(choice.target());
    }

    /** Returns a run that is about to be sent, and adds it to the load of its target. */
    static TargetRun open(TargetSelector targets, Choice choice, ForwardRequest request, long now) {
        targets.onDispatch(choice, request, now);
        return new TargetRun(targets, choice);
    }

    String target() {
        return mChoice.target();
    }

    /**
     * Returns the software version that runs the request; empty if the target has reported another
     * one under the same id since the request was sent.
     */
    Optional<String> softwareVersion() {
        String reported = mTargets.softwareVersion(target());
        return reported.isEmpty() || reported.equals(mSoftwareVersion)
                ? Optional.of(mSoftwareVersion)
                : Optional.empty();
    }

    /**
     * Records that the first byte is sent: from now on the request may run.
     *
     * @param firstOnTarget whether the target has not run the request before, as far as known
     */
    void onSending(boolean firstOnTarget) {
        mSent = true;
        mFirstOnTarget = firstOnTarget;
    }

    /**
     * Returns whether this is the first run of the request on its target, so that a refusal shows
     * that the target has never run it.
     */
    boolean isFirstOnTarget() {
        return mFirstOnTarget;
    }

    /** Returns whether another instance has to send the request on its share of a limit. */
    boolean borrowsPermit() {
        return mChoice.borrowsPermit();
    }

    /** Records that no byte could be sent: the target is out of reach, or no permit was lent. */
    void onUnreachable(long now) {
        if (borrowsPermit()) {
            mTargets.borrowing().onDenied(target(), now);
        } else {
            mTargets.onUnreachable(target(), now);
        }
    }

    /** Records that the target has refused the request without running it. */
    void onRefused(AnswerHead head, long now) {
        if (head.wrongTarget()) {
            mTargets.onWrongTarget(target(), now);
        } else {
            mTargets.onOverloaded(target(), now);
        }
    }

    /** Returns whether a byte may have reached the target. */
    boolean isSent() {
        return mSent;
    }

    /** Records that the prompt has been processed, or never will be. */
    void onPrefillEnd() {
        if (!mPrefillEnded) {
            mPrefillEnded = true;
            mTargets.onPrefillEnd(mChoice);
        }
    }

    /** Records that the run has ended, with any outcome. */
    void finish() {
        if (!mFinished) {
            mFinished = true;
            onPrefillEnd();
            mTargets.onFinished(mChoice);
        }
    }
}
