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

/** How far apart two failure domains are. */
public enum Distance {
    SAME_DOMAIN("same-domain", 0, 0, 1, 0),
    SAME_REGION("same-region", 1, 0.5, 2, 0),
    /**
     * Bytes cost four times as much as between failure domains of a region. A plain request costs
     * as much as the load of a target with all slots in use, so that it stays in its region while
     * there is a free slot. Moving a token of KV cache from there costs about a fiftieth of
     * prefilling it again.
     */
    OTHER_REGION("other-region", 4, 10, 10, 0.02);

    private final String mLabel;
    private final double mByteCostFactor;
    private final double mPlainCost;
    private final double mTransferSlowdown;
    private final double mTransferCostPerToken;

    Distance(
            String label,
            double byteCostFactor,
            double plainCost,
            double transferSlowdown,
            double transferCostPerToken) {
        mLabel = label;
        mByteCostFactor = byteCostFactor;
        mPlainCost = plainCost;
        mTransferSlowdown = transferSlowdown;
        mTransferCostPerToken = transferCostPerToken;
    }

    /** Returns the name used in metrics. */
    public String label() {
        return mLabel;
    }

    /** Returns the cost of a byte as a multiple of that between two domains of a region. */
    double byteCostFactor() {
        return mByteCostFactor;
    }

    /**
     * Returns the cost of sending a plain request there, in tenths of the load of a target with all
     * slots in use.
     */
    double plainCost() {
        return mPlainCost;
    }

    /** Returns the duration of a transfer of KV cache as a multiple of that within a domain. */
    double transferSlowdown() {
        return mTransferSlowdown;
    }

    /** Returns the cost of each token of KV cache fetched from there, in recomputed tokens. */
    double transferCostPerToken() {
        return mTransferCostPerToken;
    }
}
