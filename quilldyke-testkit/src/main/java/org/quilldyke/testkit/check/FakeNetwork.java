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
package org.quilldyke.testkit.check;

import java.util.HashSet;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;
import org.quilldyke.control.PeerMessage;

/** A network that delays, reorders, loses and doubles messages, and cuts links in one direction. */
public final class FakeNetwork {
    private static final int MAX_DELAY = 12;
    private static final int SLOW_DELAY = 400;

    private final Random mRandom;
    private final CheckReport mReport;
    private final PriorityQueue<Packet> mPackets = new PriorityQueue<>();
    private final Set<String> mCuts = new HashSet<>();
    private int mLossPerMille;
    private long mSent;

    /**
     * Creates a network without faults.
     *
     * @param random draws delays and losses
     * @param report counts them
     */
    public FakeNetwork(Random random, CheckReport report) {
        mRandom = random;
        mReport = report;
    }

    /** Sends a message, which may be lost, late or doubled. */
    public void send(String from, String to, PeerMessage message, long now) {
        if (mCuts.contains(from + ">" + to)) {
            mReport.count("fault message cut");
            return;
        }
        if (mRandom.nextInt(1000) < mLossPerMille) {
            mReport.count("fault message lost");
            return;
        }
        add(from, to, message, now);
        if (mRandom.nextInt(1000) < mLossPerMille) {
            mReport.count("fault message doubled");
            add(from, to, message, now);
        }
    }

    /** Returns the next message due at {@code now}, or null. */
    public Packet poll(long now) {
        return !mPackets.isEmpty() && mPackets.peek().at() <= now ? mPackets.poll() : null;
    }

    /** Loses, and doubles, so many of a thousand messages from now on. */
    public void setLoss(int perMille) {
        mLossPerMille = perMille;
    }

    /** Cuts a link in one direction. */
    public void cut(String from, String to) {
        mCuts.add(from + ">" + to);
        mReport.count("fault link cut in one direction");
    }

    /** Mends all links. */
    public void heal() {
        mCuts.clear();
    }

    private void add(String from, String to, PeerMessage message, long now) {
        int delay = 1 + mRandom.nextInt(MAX_DELAY);
        if (mLossPerMille > 0 && mRandom.nextInt(200) == 0) {
            mReport.count("fault message late");
            delay = mRandom.nextInt(SLOW_DELAY);
        }
        mPackets.add(new Packet(now + delay, mSent++, from, to, message));
    }

    /** A message on its way. */
    public record Packet(long at, long order, String from, String to, PeerMessage message)
            implements Comparable<Packet> {
        @Override
        public int compareTo(Packet other) {
            int byTime = Long.compare(at, other.at);
            return byTime != 0 ? byTime : Long.compare(order, other.order);
        }
    }
}
