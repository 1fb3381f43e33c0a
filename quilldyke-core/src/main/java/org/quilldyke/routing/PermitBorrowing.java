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

import java.util.HashMap;
import java.util.Map;

/**
 * When this instance may send a request on another instance's share of a target's limit, because
 * its own share is used up.
 *
 * <p>Each instance has the same share, whichever of them callers connect to. An instance with more
 * callers than others therefore sends requests through those that have permits left. Only the
 * holder of a share uses its permits, so that the limit holds whatever happens to either instance.
 */
public final class PermitBorrowing {
    /** A target for which no instance had a permit left isn't tried again for this long. */
    static final long DENIED_MILLIS = 100;

    /**
     * Denials within {@link #DENIED_MILLIS} after which no target is tried: the limits themselves
     * are reached, and each further try costs messages to several relays.
     */
    static final int MAX_DENIALS = 5;

    /** Relays are requested for this long after permits were last lacking. */
    static final long WANTED_MILLIS = 5000;

    private static final long NEVER = Long.MIN_VALUE / 2;

    private final Map<String, Long> mDeniedAt = new HashMap<>();
    private long mLackedAt = NEVER;

    private PermitBorrowing() {}

    static PermitBorrowing create() {
        return new PermitBorrowing();
    }

    /** Records that this instance lacked a permit for a target that it could use. */
    void onPermitLacking(long now) {
        mLackedAt = now;
    }

    /** Records that none of the instances that were asked had a permit for a target. */
    public void onDenied(String target, long now) {
        expireDenials(now);
        mDeniedAt.put(target, now);
    }

    /** Returns whether permits have been lacking lately, so that relays are of use. */
    public boolean isWanted(long now) {
        return now - mLackedAt < WANTED_MILLIS;
    }

    boolean mayTry(String target, long now) {
        expireDenials(now);
        return !mDeniedAt.containsKey(target) && mDeniedAt.size() < MAX_DENIALS;
    }

    private void expireDenials(long now) {
        mDeniedAt.values().removeIf(at -> now - at >= DENIED_MILLIS);
    }
}
