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
 * The targets that have run one request, and the targets that may run it now.
 *
 * <p>The number of targets that run a request is limited. Once the limit is reached, only a target
 * whose run was abandoned while in progress may run the request again, since it has not failed.
 */
final class RunHistory {
    private final int mMaxTargets;
    private final Set<String> mRunTargets = new HashSet<>();
    private final Set<String> mLeftRunning = new HashSet<>();
    private final Set<String> mUnavailable = new HashSet<>();

    /**
     * Returns a history without runs.
     *
     * @param maxTargets the number of targets that may run the request
     */
    RunHistory(int maxTargets) {
        mMaxTargets = maxTargets;
    }

    /**
     * Records that a target runs the request, or may run it; returns whether it is the first time.
     */
    boolean onRun(String target) {
        return mRunTargets.add(target);
    }

    /** Records that a target has not run the request although it was sent there. */
    void onNotRun(String target) {
        mRunTargets.remove(target);
    }

    /** Records that a run was abandoned although the target may still work on it. */
    void onLeftRunning(String target) {
        mLeftRunning.add(target);
    }

    /** Records that a target is unreachable or has refused the request, which may be temporary. */
    void onUnavailable(String target) {
        mUnavailable.add(target);
    }

    /** Records that a target failed the request. */
    void onFailed(String target) {
        mLeftRunning.remove(target);
        mUnavailable.add(target);
    }

    /** Makes the unavailable targets eligible again, as far as they may run the request. */
    void clearUnavailable() {
        mUnavailable.clear();
    }

    /** Returns the number of targets that have run the request, or may have run it. */
    int runCount() {
        return mRunTargets.size();
    }

    /** Returns the unavailable targets, for the log. */
    Set<String> unavailable() {
        return Set.copyOf(mUnavailable);
    }

    /** Returns whether one more target may run the request. */
    boolean mayRunOnAnother() {
        return mRunTargets.size() < mMaxTargets;
    }

    /** Returns whether any target may run the request once it is available. */
    boolean mayRunAnywhere() {
        return mayRunOnAnother() || !mLeftRunning.isEmpty();
    }

    /** Returns which of the known targets must not run the request now. */
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
