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
package org.quilldyke.gateway.control;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import org.quilldyke.gateway.instance.Peers;
import org.quilldyke.gateway.instance.proto.Confirm;
import org.quilldyke.gateway.instance.proto.Confirmed;
import org.quilldyke.gateway.instance.proto.PeerFrame;

/**
 * Confirms that what is applied here includes all that was committed before a question came.
 *
 * <p>The leader confirms a question when a majority has heard it after the question came. Another
 * replica asks the leader, one question for all that wait, and then waits until it has applied what
 * was committed by then.
 */
final class Confirmations {
    /** A question that isn't answered by then has no answer: callers wait for a second. */
    static final long TIMEOUT_MILLIS = 800;

    private final Group mGroup;
    private final Peers mPeers;
    private final LongSupplier mClock;
    private final List<Waiting> mAtLeader = new ArrayList<>();
    private final List<Waiting> mUnsent = new ArrayList<>();
    private final Map<Long, Asked> mAsked = new HashMap<>();
    private final List<Applying> mApplying = new ArrayList<>();
    private long mNumber;
    private long mOutstanding;

    Confirmations(Group group, Peers peers, LongSupplier clock) {
        mGroup = group;
        mPeers = peers;
        mClock = clock;
    }

    /** Asks; {@code done} hears whether it is confirmed, within {@link #TIMEOUT_MILLIS}. */
    void ask(Consumer<Boolean> done) {
        Waiting waiting = new Waiting(mClock.getAsLong(), done);
        if (mGroup.leads()) {
            mAtLeader.add(waiting);
        } else {
            mUnsent.add(waiting);
        }
        advance();
    }

    /** Takes another replica's question. */
    void onConfirm(String from, Confirm question) {
        if (!mGroup.leads()) {
            reply(from, question.getNumber(), false);
            return;
        }
        mAtLeader.add(
                new Waiting(mClock.getAsLong(), leads -> reply(from, question.getNumber(), leads)));
        advance();
    }

    /** Takes the leader's answer. */
    void onConfirmed(Confirmed answer) {
        Asked asked = mAsked.remove(answer.getNumber());
        if (asked == null) {
            return;
        }
        mOutstanding = 0;
        for (Waiting waiting : asked.waiting()) {
            if (answer.getLeads()) {
                mApplying.add(new Applying(answer.getIndex(), waiting));
            } else {
                waiting.done().accept(false);
            }
        }
        advance();
    }

    /** Answers what can be answered; call it after each message and often. */
    void advance() {
        long now = mClock.getAsLong();
        advanceLeader();
        sendQuestion(now);
        advanceApplying();
        expire(now);
    }

    private void advanceLeader() {
        long confirmedAt = mGroup.node().confirmedAt();
        List<Waiting> done = take(mAtLeader, waiting -> waiting.since() < confirmedAt);
        done.forEach(waiting -> waiting.done().accept(true));
    }

    private void sendQuestion(long now) {
        if (mUnsent.isEmpty() || mOutstanding != 0) {
            return;
        }
        if (mGroup.leads()) {
            mAtLeader.addAll(mUnsent);
            mUnsent.clear();
            return;
        }
        Optional<String> leader = mGroup.leaderAddress();
        if (leader.isPresent()) {
            mOutstanding = ++mNumber;
            mAsked.put(mNumber, new Asked(now, List.copyOf(mUnsent)));
            mUnsent.clear();
            mPeers.send(
                    leader.get(),
                    PeerFrame.newBuilder().setConfirm(Confirm.newBuilder().setNumber(mNumber)));
        }
    }

    private void advanceApplying() {
        long applied = mGroup.node().appliedIndex();
        Iterator<Applying> all = List.copyOf(mApplying).iterator();
        mApplying.removeIf(a -> a.index() <= applied);
        while (all.hasNext()) {
            Applying applying = all.next();
            if (applying.index() <= applied) {
                applying.waiting().done().accept(true);
            }
        }
    }

    private void expire(long now) {
        long limit = now - TIMEOUT_MILLIS;
        List<Waiting> late = take(mAtLeader, waiting -> waiting.since() < limit);
        late.addAll(take(mUnsent, waiting -> waiting.since() < limit));
        List<Long> lost = new ArrayList<>();
        mAsked.forEach(
                (number, asked) -> {
                    if (asked.at() < now - TIMEOUT_MILLIS / 2) {
                        lost.add(number);
                        late.addAll(asked.waiting());
                    }
                });
        for (long number : lost) {
            mAsked.remove(number);
            mOutstanding = mOutstanding == number ? 0 : mOutstanding;
        }
        for (Applying applying : List.copyOf(mApplying)) {
            if (applying.waiting().since() < limit) {
                mApplying.remove(applying);
                late.add(applying.waiting());
            }
        }
        late.forEach(waiting -> waiting.done().accept(false));
    }

    private void reply(String to, long number, boolean leads) {
        mPeers.send(
                to,
                PeerFrame.newBuilder()
                        .setConfirmed(
                                Confirmed.newBuilder()
                                        .setNumber(number)
                                        .setLeads(leads)
                                        .setIndex(mGroup.node().replica().commitIndex())));
    }

    private static List<Waiting> take(
            List<Waiting> from, java.util.function.Predicate<Waiting> which) {
        List<Waiting> taken = new ArrayList<>();
        from.removeIf(
                waiting -> {
                    boolean take = which.test(waiting);
                    if (take) {
                        taken.add(waiting);
                    }
                    return take;
                });
        return taken;
    }

    private record Waiting(long since, Consumer<Boolean> done) {}

    private record Asked(long at, List<Waiting> waiting) {}

    private record Applying(long index, Waiting waiting) {}
}
