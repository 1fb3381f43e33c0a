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
 * What a target said last of the requests that it takes from all instances together.
 *
 * @param target which
 * @param perSecond requests a second, {@link #NONE} if it names no limit
 * @param receivedAt when it was heard, in milliseconds of this process's clock
 */
public record AdvertisedLimit(String target, double perSecond, long receivedAt) {
    /** Stands for no limit. */
    public static final double NONE = Double.POSITIVE_INFINITY;

    /** A limit holds for so long after it was heard last anywhere. */
    static final long VALID_MILLIS = 60_000;

    /** A limit that is heard again is told this often. */
    static final long REPUBLISH_INTERVAL_MILLIS = 20_000;

    /** Limits that differ by less than this part are told as one. */
    private static final double SIGNIFICANT_CHANGE = 0.2;

    /** Returns that a target has said nothing yet. */
    static AdvertisedLimit unknown(String target) {
        return new AdvertisedLimit(target, NONE, Long.MIN_VALUE / 2);
    }

    /** Returns whether it names a limit. */
    public boolean isSet() {
        return perSecond != NONE;
    }

    /** Returns whether it limits the target at {@code now}. */
    boolean isInForce(long now) {
        return isSet() && now - receivedAt < VALID_MILLIS;
    }

    /** Returns whether others should hear of it who know an earlier word of the target. */
    public boolean shouldPublishAfter(AdvertisedLimit published) {
        double difference = Math.abs(perSecond - published.perSecond);
        return isSet() != published.isSet()
                || difference > SIGNIFICANT_CHANGE * published.perSecond
                || isSet() && receivedAt - published.receivedAt >= REPUBLISH_INTERVAL_MILLIS;
    }
}
