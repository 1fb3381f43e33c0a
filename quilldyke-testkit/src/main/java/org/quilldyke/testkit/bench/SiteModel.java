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
package org.quilldyke.testkit.bench;

import org.quilldyke.routing.CostProfile;

/** The two sites as the bench models them. */
public enum SiteModel {
    /** Long deed chains, heavily shared. */
    BRAZOS(CostProfile.REUSE, 10, 4, 24, 4, 10, 200),
    /** Shorter prompts, many households. */
    WINTERTHAL(CostProfile.LATENCY, 9, 3, 60, 2, 5, 300);

    static final int ENGINES = 6;
    static final int SLOTS = 16;
    static final int ORGANISATIONS = 8;
    static final int UNITS_PER_MILLI = 100;
    static final int TOKEN_MILLIS = 20;
    static final int MIN_TOKENS = 20;
    static final int MAX_TOKENS = 100;
    static final int MAX_QUESTION = 3900;

    final CostProfile mWeights;
    final int mInstances;
    final int mContextBlocks;
    final int mRecords;
    final int mMinRecordBlocks;
    final int mMaxRecordBlocks;
    final int mCacheBlocks;

    SiteModel(
            CostProfile weights,
            int instances,
            int contextBlocks,
            int records,
            int minRecordBlocks,
            int maxRecordBlocks,
            int cacheBlocks) {
        mWeights = weights;
        mInstances = instances;
        mContextBlocks = contextBlocks;
        mRecords = records;
        mMinRecordBlocks = minRecordBlocks;
        mMaxRecordBlocks = maxRecordBlocks;
        mCacheBlocks = cacheBlocks;
    }

    /** Returns requests a second that all slots could serve if every prefix were cached. */
    double capacity() {
        double decode = (MIN_TOKENS + MAX_TOKENS) / 2.0 * TOKEN_MILLIS;
        double prefill = MAX_QUESTION / 2.0 / UNITS_PER_MILLI;
        return ENGINES * SLOTS * 1000.0 / (decode + prefill);
    }
}
