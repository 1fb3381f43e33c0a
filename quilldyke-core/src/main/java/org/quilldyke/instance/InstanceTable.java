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
package org.quilldyke.instance;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * The other instances of the cell as their heartbeats show them.
 *
 * <p>An instance that was not heard for the suspicion time is suspected. From who is heard and how
 * old each one's sign of a control leader is, the table tells a cut-off instance from a control
 * group that is down: see {@link #status}.
 */
public final class InstanceTable {
    private final List<String> mOthers;
    private final long mSuspicionMillis;
    private final long mLeaderLeaseMillis;
    private final Map<String, ReceivedHeartbeat> mLastHeartbeats = new TreeMap<>();
    private final long mStartedAt;
    private long mLeaderSeenAt = Long.MIN_VALUE;
    private String mLeader = "";

    private InstanceTable(
            List<String> others, long suspicionMillis, long leaderLeaseMillis, long now) {
        mOthers = List.copyOf(others);
        mSuspicionMillis = suspicionMillis;
        mLeaderLeaseMillis = leaderLeaseMillis;
        mStartedAt = now;
    }

    /**
     * Returns a table in which nobody was heard yet.
     *
     * @param others the ids of the other instances of the settings
     * @param suspicionMillis silence after which an instance is suspected
     * @param leaderLeaseMillis age from which a sign of a leader no longer counts
     */
    public static InstanceTable create(
            List<String> others, long suspicionMillis, long leaderLeaseMillis, long now) {
        return new InstanceTable(others, suspicionMillis, leaderLeaseMillis, now);
    }

    /**
     * Notes a heartbeat.
     *
     * @return whether the instance is new or has restarted
     */
    public boolean onHeartbeat(InstanceState state, long now) {
        ReceivedHeartbeat previous = mLastHeartbeats.get(state.id());
        if (previous != null && previous.state().incarnation() > state.incarnation()) {
            return false;
        }
        mLastHeartbeats.put(state.id(), new ReceivedHeartbeat(state, now));
        long leaderSeenAt = now - state.leaderAgeMillis();
        if (!state.leader().isEmpty() && leaderSeenAt > mLeaderSeenAt) {
            mLeaderSeenAt = leaderSeenAt;
            mLeader = state.leader();
        }
        return previous == null || previous.state().incarnation() != state.incarnation();
    }

    /** Notes a direct sign of the leader, at a replica that hears it or is it. */
    public void onLeader(String leader, long now) {
        mLeader = leader;
        mLeaderSeenAt = now;
    }

    /** Returns the age of the newest sign of a leader, {@link Long#MAX_VALUE} if there was none. */
    public long leaderAgeMillis(long now) {
        return mLeaderSeenAt == Long.MIN_VALUE ? Long.MAX_VALUE : now - mLeaderSeenAt;
    }

    /** Returns the leader last heard of, empty for none. */
    public String leader() {
        return mLeader;
    }

    /** Returns the instances that are heard and not suspected at {@code now}. */
    public List<InstanceState> alive(long now) {
        List<InstanceState> alive = new ArrayList<>();
        for (ReceivedHeartbeat heartbeat : mLastHeartbeats.values()) {
            if (now - heartbeat.receivedAt() <= mSuspicionMillis) {
                alive.add(heartbeat.state());
            }
        }
        return alive;
    }

    /** Returns what this instance may take itself for at {@code now}. */
    public Status status(long now) {
        if (leaderAgeMillis(now) <= mLeaderLeaseMillis) {
            return Status.CONNECTED;
        }
        if (now - mStartedAt <= mLeaderLeaseMillis) {
            return Status.STARTING;
        }
        boolean majority = (alive(now).size() + 1) * 2 > mOthers.size() + 1;
        return majority ? Status.CONTROL_DOWN : Status.CUT_OFF;
    }

    /** How an instance stands towards the rest of its cell. */
    public enum Status {
        /** A leader was seen within the lease: the configuration is current. */
        CONNECTED,
        /** Too early to tell. */
        STARTING,
        /** Most instances are heard and none sees a leader: no configuration can be accepted. */
        CONTROL_DOWN,
        /** Few instances are heard: a newer configuration may be in force elsewhere. */
        CUT_OFF;

        /** Returns whether requests may be served. */
        public boolean mayServe() {
            return this != CUT_OFF;
        }
    }

    private record ReceivedHeartbeat(InstanceState state, long receivedAt) {}
}
