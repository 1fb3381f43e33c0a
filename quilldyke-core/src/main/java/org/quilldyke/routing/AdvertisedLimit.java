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
 * The latest limit that a target has advertised for requests from all instances together.
 *
 * @param target the target's id
 * @param perSecond requests per second, {@link #NONE} if it advertises no limit
 * @param receivedAt when an instance received it from the target, in milliseconds of this process's
 *     clock
 */
public record AdvertisedLimit(String target, double perSecond, long receivedAt) {
    /** The rate of a target that advertises no limit. */
    public static final double NONE = Double.POSITIVE_INFINITY;

    /** A limit is in force for this long after any instance last received it. */
    static final long VALID_MILLIS = 60_000;

    /** An unchanged limit that is received again is published at most once in this interval. */
    static final long REPUBLISH_INTERVAL_MILLIS = 20_000;

    /** Limits that differ by no more than this fraction of the published one count as unchanged. */
    private static final double SIGNIFICANT_CHANGE_FRACTION = 0.2;

    /**
     * Returns the state of a target that hasn't advertised anything yet. Its time is early enough
     * to be replaced by any other, and late enough for its age not to overflow.
     */
    static AdvertisedLimit unknown(String target) {
        return new AdvertisedLimit(target, NONE, Long.MIN_VALUE / 2);
    }

    /** Returns whether the target advertises a limit. */
    public boolean isSet() {
        return perSecond != NONE;
    }

    /** Returns whether the target is limited at {@code now}. */
    boolean isInForce(long now) {
        return isSet() && now - receivedAt < VALID_MILLIS;
    }

    /**
     * Returns whether other instances should receive this limit.
     *
     * @param published the limit of the target that was published last
     */
    public boolean shouldPublishAfter(AdvertisedLimit published) {
        double difference = Math.abs(perSecond - published.perSecond);
        return isSet() != published.isSet()
                || difference > SIGNIFICANT_CHANGE_FRACTION * published.perSecond
                || isSet() && receivedAt - published.receivedAt >= REPUBLISH_INTERVAL_MILLIS;
    }
}
