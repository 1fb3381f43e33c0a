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
package org.quilldyke.testkit.check;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** What a run did, how often each fault and check came up, and what it found broken. */
public final class CheckReport {
    private static final int TRACE_LINES = 40;

    private final String mPart;
    private final long mSeed;
    private final Map<String, Long> mCounts = new TreeMap<>();
    private final Deque<String> mTrace = new ArrayDeque<>();
    private final List<String> mViolations = new ArrayList<>();
    private long mSteps;

    /**
     * Creates a report of a run that has done nothing yet.
     *
     * @param part what is checked
     * @param seed draws everything
     */
    public CheckReport(String part, long seed) {
        mPart = part;
        mSeed = seed;
    }

    /** Counts a fault that was caused or a check that was made. */
    public void count(String name) {
        mCounts.merge(name, 1L, Long::sum);
    }

    /** Notes a step for the trace. */
    public void step(String what) {
        mSteps++;
        mTrace.addLast(what);
        if (mTrace.size() > TRACE_LINES) {
            mTrace.removeFirst();
        }
    }

    /** Counts a check and notes a violation if it doesn't hold. */
    public void check(boolean holds, String name, String detail) {
        count("checked " + name);
        if (!holds) {
            violation(name + ": " + detail);
        }
    }

    /** Notes a violation. */
    public void violation(String what) {
        mViolations.add(what + " at step " + mSteps);
    }

    /** Returns whether nothing was found broken. */
    public boolean isGood() {
        return mViolations.isEmpty();
    }

    /** Returns what was checked. */
    public String part() {
        return mPart;
    }

    /** Returns the seed. */
    public long seed() {
        return mSeed;
    }

    /** Returns the number of steps. */
    public long steps() {
        return mSteps;
    }

    /** Returns how often each fault and check came up. */
    public Map<String, Long> counts() {
        return mCounts;
    }

    /** Returns what was found broken. */
    public List<String> violations() {
        return mViolations;
    }

    /** Returns the last steps before now. */
    public List<String> trace() {
        return new ArrayList<>(mTrace);
    }

    /** Returns the command that repeats the run. */
    public String repeatCommand(long steps) {
        return "bin/quilldyke check --part %s --seeds %d-%d --steps %d"
                .formatted(mPart, mSeed, mSeed, steps);
    }
}
