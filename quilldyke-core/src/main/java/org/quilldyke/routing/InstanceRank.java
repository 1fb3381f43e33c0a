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
package org.quilldyke.routing;

/**
 * The rank of this instance among all entry instances, which are those that serve callers. The
 * control group assigns it.
 *
 * @param rank from 0, negative if it isn't known
 * @param instances the number of entry instances
 */
public record InstanceRank(int rank, int instances) {
    /** The rank of an instance to which no control process has reported one yet. */
    public static final InstanceRank UNKNOWN = new InstanceRank(-1, 1);

    /**
     * At most this many instances use a target that limits its requests. With more, each would use
     * its small share seldom, and all shares used at once would exceed the limit.
     */
    private static final int MAX_SHARERS = 5;

    /** Returns how many instances share a target that limits its requests. */
    int sharers() {
        return Math.min(MAX_SHARERS, instances);
    }

    /**
     * Returns this instance's part of a target's slots; the parts of all instances add up to them.
     * The instances that get one more than others differ from target to target.
     */
    int part(int slots, long targetHash) {
        if (rank < 0) {
            return 0;
        }
        long first = Math.floorMod(targetHash, (long) instances);
        boolean oneMore = Math.floorMod(rank - first, (long) instances) < slots % instances;
        return slots / instances + (oneMore ? 1 : 0);
    }

    /**
     * Returns whether this instance may use such a target; the sharers differ from target to
     * target.
     */
    boolean isSharer(long targetHash) {
        long first = Math.floorMod(targetHash, (long) instances);
        return rank >= 0 && Math.floorMod(rank - first, (long) instances) < sharers();
    }
}
