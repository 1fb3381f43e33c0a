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
package org.quilldyke.gateway.instance;

import java.util.List;
import org.quilldyke.gateway.instance.proto.Limit;
import org.quilldyke.gateway.instance.proto.Limits;
import org.quilldyke.routing.AdvertisedLimit;

/** Turns what targets say of their limits into its form between instances, and back. */
public final class LimitFrames {
    private LimitFrames() {}

    /** Returns the form of what targets said. */
    public static Limits encode(List<AdvertisedLimit> limits, long now) {
        Limits.Builder out = Limits.newBuilder();
        for (AdvertisedLimit limit : limits) {
            out.addLimits(
                    Limit.newBuilder()
                            .setTarget(limit.target())
                            .setPerSecond(limit.perSecond())
                            .setAgeMs(Math.max(0, now - limit.receivedAt())));
        }
        return out.build();
    }

    /** Returns what targets said. */
    public static List<AdvertisedLimit> decode(Limits limits, long now) {
        return limits.getLimitsList().stream()
                .map(l -> new AdvertisedLimit(l.getTarget(), l.getPerSecond(), now - l.getAgeMs()))
                .toList();
    }
}
