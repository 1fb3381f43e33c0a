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

import java.util.Collection;
import java.util.HashSet;
import java.util.Set;
import org.quilldyke.routing.TargetState;

/**
 * Where one request has run, and who may run it now.
 *
 * <p>What is bounded is the number of targets that run a request. One that was left at work, by
 * choice, may go on with it: its turn was taken from it, not spent by a failure.
 */
final class RunHistory {
    private final int mMaxTargets;
    private final Set<String> mRunTargets = new HashSet<>();
    private final Set<String> mLeftRunning = new HashSet<>();
    private final Set<String> mUnavailable = new HashSet<>();

    /**
     * Makes a history without runs.
     *
     * @param maxTargets how many targets may run the request
     */
    RunHistory(int maxTargets) {
        mMaxTargets = maxTargets;
    }

    /** Notes that a target runs the request, or may; returns whether it is the first time. */
    boolean onRun(String target) {
        return mRunTargets.add(target);
    }

    /** Notes that a target has not run the request, though it was sent there. */
    void onNotRun(String target) {
        mRunTargets.remove(target);
    }

    /** Notes that a target was left though it may be at work. */
    void onLeftRunning(String target) {
        mLeftRunning.add(target);
    }

    /** Notes that a target can't be reached, or refused the request: another time it may not. */
    void onUnavailable(String target) {
        mUnavailable.add(target);
    }

    /** Notes that a target failed the request. */
    void onFailed(String target) {
        mLeftRunning.remove(target);
        mUnavailable.add(target);
    }

    /** Gives those that refused or failed another chance, as far as they may run the request. */
    void clearUnavailable() {
        mUnavailable.clear();
    }

    /** Returns at how many targets the request has run, or may have. */
    int runCount() {
        return mRunTargets.size();
    }

    /** Returns those that were found unfit, for the log. */
    Set<String> unavailable() {
        return Set.copyOf(mUnavailable);
    }

    /** Returns whether one more target may run the request. */
    boolean mayRunOnAnother() {
        return mRunTargets.size() < mMaxTargets;
    }

    /** Returns whether any target may run the request, once it is fit. */
    boolean mayRunAnywhere() {
        return mayRunOnAnother() || !mLeftRunning.isEmpty();
    }

    /** Returns who may not run the request, of all targets that are known. */
    Set<String> excludedTargets(Collection<TargetState> known) {
        Set<String> excluded = new HashSet<>(mUnavailable);
        for (TargetState target : known) {
            boolean mayRun = mLeftRunning.contains(target.id()) || mayRunOnAnother();
            if (!mayRun) {
                excluded.add(target.id());
            }
        }
        return excluded;
    }
}
