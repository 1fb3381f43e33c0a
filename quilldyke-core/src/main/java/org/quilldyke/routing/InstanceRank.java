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
 * Which of all entry instances this one is, as the control group counts them.
 *
 * @param rank from 0 on, less than 0 if it isn't known
 * @param instances how many there are
 */
public record InstanceRank(int rank, int instances) {
    /** The rank of an instance that no control process has told it yet. */
    public static final InstanceRank UNKNOWN = new InstanceRank(-1, 1);

    /**
     * So many instances use a target that limits its requests: a part of a limit for each of many
     * would be used seldom, and all of these parts at once would exceed it.
     */
    private static final int MAX_SHARERS = 5;

    /** Returns how many instances use a target that limits its requests. */
    int sharers() {
        return Math.min(MAX_SHARERS, instances);
    }

    /** Returns whether this instance is one of them; for each target they are others. */
    boolean isSharer(long targetHash) {
        long first = Math.floorMod(targetHash, (long) instances);
        return rank >= 0 && Math.floorMod(rank - first, (long) instances) < sharers();
    }
}
