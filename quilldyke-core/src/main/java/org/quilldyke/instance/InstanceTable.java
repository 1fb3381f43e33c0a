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
 * The other instances of the cell, with their latest heartbeats. A cell is a group of instances
 * that share targets and configuration.
 *
 * <p>An instance without a heartbeat for the suspicion time is suspected to have failed. The number
 * of alive instances and the age of their latest contact with a control leader distinguish an
 * isolated instance from a control group without a leader, see {@link #status}.
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
     * Returns a table without any heartbeats.
     *
     * @param others the ids of the other instances in the settings
     * @param suspicionMillis the time without a heartbeat after which an instance is suspected
     * @param leaderLeaseMillis the age above which a contact with a leader has expired
     * @param now the current time in monotonic milliseconds, as in all other calls
     */
    public static InstanceTable create(
            List<String> others, long suspicionMillis, long leaderLeaseMillis, long now) {
        return new InstanceTable(others, suspicionMillis, leaderLeaseMillis, now);
    }

    /**
     * Records a heartbeat.
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

    /** Records that the replica in this instance led, or had contact with the leader. */
    public void onLeader(String leader, long seenAt) {
        mLeader = leader;
        mLeaderSeenAt = seenAt;
    }

    /** Returns the age of the latest contact with a leader, {@link Long#MAX_VALUE} for none. */
    public long leaderAgeMillis(long now) {
        return mLeaderSeenAt == Long.MIN_VALUE ? Long.MAX_VALUE : now - mLeaderSeenAt;
    }

    /** Returns the id of the last known leader, empty for none. */
    public String leader() {
        return mLeader;
    }

    /** Returns the other instances that are not suspected at {@code now}. */
    public List<InstanceState> alive(long now) {
        List<InstanceState> alive = new ArrayList<>();
        for (ReceivedHeartbeat heartbeat : mLastHeartbeats.values()) {
            if (now - heartbeat.receivedAt() <= mSuspicionMillis) {
                alive.add(heartbeat.state());
            }
        }
        return alive;
    }

    /** Returns the status of this instance at {@code now}. */
    public Status status(long now) {
        if (leaderAgeMillis(now) <= mLeaderLeaseMillis) {
            return Status.CONNECTED;
        }
        if (now - mStartedAt <= mLeaderLeaseMillis) {
            return Status.STARTING;
        }
        boolean majorityIsAlive = (alive(now).size() + 1) * 2 > mOthers.size() + 1;
        return majorityIsAlive ? Status.CONTROL_DOWN : Status.CUT_OFF;
    }

    /** The connection of an instance to the rest of its cell. */
    public enum Status {
        /** The latest contact with a leader is within its lease: the configuration is current. */
        CONNECTED,
        /** No contact with a leader yet, but the instance started less than a lease ago. */
        STARTING,
        /** A majority is alive, but none sees a leader: no configuration can be accepted. */
        CONTROL_DOWN,
        /** Only a minority is alive: a newer configuration may be in use elsewhere. */
        CUT_OFF;

        /** Returns whether the instance may serve requests. */
        public boolean mayServe() {
            return this != CUT_OFF;
        }
    }

    private record ReceivedHeartbeat(InstanceState state, long receivedAt) {}
}
