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

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.LongSupplier;
import org.quilldyke.daemon.log.Event;
import org.quilldyke.daemon.log.EventLog;
import org.quilldyke.gateway.instance.proto.Answer;
import org.quilldyke.gateway.instance.proto.ControlFrame;
import org.quilldyke.gateway.instance.proto.EntryFrame;
import org.quilldyke.gateway.instance.proto.Hello;
import org.quilldyke.gateway.instance.proto.Question;
import org.quilldyke.gateway.instance.proto.TargetLoad;
import org.quilldyke.gateway.instance.proto.TargetLoads;

/**
 * Keeps an entry process in touch with two control processes, and with others when these fail.
 *
 * <p>A control process that is cut off from its leader still speaks, but can't answer questions;
 * one that hasn't answered for a while is replaced by the next. Lives on the control thread.
 */
public final class ControlLinks {
    /** One more than needed, so that the loss of one goes unnoticed. */
    private static final int LINKS = 2;

    /** A control process that answers no question for this long is left for another. */
    private static final long UNCONFIRMED_MILLIS = 1500;

    private static final long CHECK_MILLIS = 250;

    /** A near control process that didn't answer is preferred again after this long. */
    private static final long NEAR_RETRY_MILLIS = 5000;

    private final NettyLoop mLoop;
    private final LongSupplier mClock;
    private final LongSupplier mLeaseClock;
    private final EventLog mLog;
    private final Subscriber mSubscriber;
    private final String mFailureDomain;
    private final Set<String> mAddresses = new LinkedHashSet<>();
    private final Map<String, String> mDomains = new HashMap<>();
    private final Map<String, Long> mFailedAt = new HashMap<>();
    private final List<ControlLink> mLinks = new ArrayList<>();
    private List<TargetLoad> mLoadsTold = List.of();
    private ControlLink mMain;
    private int mNext;
    private boolean mClosed;

    private ControlLinks(
            NettyLoop loop,
            LongSupplier clock,
            LongSupplier leaseClock,
            EventLog log,
            String failureDomain,
            Subscriber subscriber) {
        mLoop = loop;
        mClock = clock;
        mLeaseClock = leaseClock;
        mLog = log;
        mFailureDomain = failureDomain;
        mSubscriber = subscriber;
    }

    /**
     * Starts to look for control processes; call it on the control thread.
     *
     * @param loop the control thread
     * @param clock monotonic milliseconds
     * @param leaseClock the time by which leases end, in milliseconds
     * @param log where gained and lost control processes go
     * @param failureDomain where this entry stands; a control process there is heard rather than
     *     others, since what crosses to another one costs
     * @param addresses those known from the settings
     * @param first where among them to begin, so that entries spread over them
     * @param subscriber hears what they tell
     */
    public static ControlLinks start(
            NettyLoop loop,
            LongSupplier clock,
            LongSupplier leaseClock,
            EventLog log,
            String failureDomain,
            List<String> addresses,
            int first,
            Subscriber subscriber) {
        ControlLinks links =
                new ControlLinks(loop, clock, leaseClock, log, failureDomain, subscriber);
        links.mAddresses.addAll(addresses);
        links.mNext = first;
        links.check();
        links.tellLoads();
        return links;
    }

    /** Takes the addresses of control processes that are known now; old ones may still be tried. */
    public void onAddresses(List<String> addresses) {
        if (!addresses.isEmpty()) {
            mAddresses.addAll(addresses);
        }
    }

    /** Sends a frame to all control processes that are in reach. */
    public void sendToAll(EntryFrame frame) {
        mLinks.stream().filter(ControlLink::isUp).forEach(link -> link.send(frame));
    }

    /** Closes all streams for good. */
    public void close() {
        mClosed = true;
        mLinks.forEach(ControlLink::close);
        mLinks.clear();
    }

    /** Returns whether any control process is in reach. */
    public boolean isUp() {
        return mLinks.stream().anyMatch(ControlLink::isUp);
    }

    Hello hello() {
        return mSubscriber.hello();
    }

    Question question(ControlLink link, long number) {
        return Question.newBuilder().setNumber(number).setMain(isMain(link)).build();
    }

    void onAnswer(ControlLink link, Answer answer, long askedAt) {
        onAddresses(answer.getControlAddressesList());
        mDomains.put(link.address(), answer.getFailureDomain());
        mSubscriber.onAnswer(answer, askedAt, link.address());
    }

    /**
     * Others' loads are taken from the main process only: another one may count this entry's own
     * among them.
     */
    void onNews(ControlLink link, ControlFrame frame) {
        if (!frame.hasLoads() || link == mMain) {
            mSubscriber.onNews(frame, link.address());
        }
    }

    /**
     * Returns whether a link is the one on which this entry tells what it has open, and hears of
     * caches and of others' loads: one that is up, and rather one in the own failure domain.
     */
    private boolean isMain(ControlLink link) {
        boolean replaced = mMain == null || !mLinks.contains(mMain) || !mMain.isUp();
        if (replaced || isNear(link) && link.isUp() && !isNear(mMain)) {
            mMain = link;
            mLoadsTold = List.of();
            // A process that has nothing new to tell tells nothing: what it told last still holds.
            mSubscriber.onNews(link.othersLoads(), link.address());
        }
        return mMain == link;
    }

    private boolean isNear(ControlLink link) {
        return mFailureDomain.equals(mDomains.get(link.address()));
    }

    void onLink(String address, boolean up, String why) {
        mLog.write(up ? Event.CONTROL_GAINED : Event.CONTROL_LOST, "control", address, "why", why);
    }

    private void check() {
        if (mClosed) {
            return;
        }
        mLoop.schedule(CHECK_MILLIS, this::check);
        long now = mClock.getAsLong();
        mLinks.removeIf(
                link -> {
                    boolean stale = now - link.confirmedAt() > UNCONFIRMED_MILLIS;
                    if (stale) {
                        mLog.write(
                                Event.CONTROL_LEFT,
                                "control",
                                link.address(),
                                "unconfirmed_ms",
                                now - link.confirmedAt());
                        link.close();
                        mFailedAt.put(link.address(), now);
                    }
                    return stale;
                });
        leaveForNearer();
        while (mLinks.size() < Math.min(LINKS, mAddresses.size())) {
            ControlLink link = new ControlLink(mLoop, mClock, mLeaseClock, nextAddress(), this);
            mLog.write(
                    Event.CONTROL_TRIED,
                    "control",
                    link.address(),
                    "links",
                    mLinks.size(),
                    "known",
                    mAddresses.size());
            mLinks.add(link);
            link.open();
        }
    }

    /** Leaves a far link if the other one is far, too, and a control process may be near. */
    private void leaveForNearer() {
        boolean settled = mLinks.size() == LINKS && mLinks.stream().allMatch(ControlLink::isUp);
        if (!settled || mLinks.stream().anyMatch(this::isNear)) {
            return;
        }
        boolean hope = mAddresses.stream().anyMatch(address -> mayBeNear(address));
        if (hope) {
            mLinks.remove(LINKS - 1).close();
        }
    }

    /** Returns whether an address without a link is in the own failure domain, or may be. */
    private boolean mayBeNear(String address) {
        String domain = mDomains.getOrDefault(address, mFailureDomain);
        Long failedAt = mFailedAt.get(address);
        boolean failed = failedAt != null && mClock.getAsLong() - failedAt < NEAR_RETRY_MILLIS;
        return !failed
                && domain.equals(mFailureDomain)
                && mLinks.stream().noneMatch(link -> link.address().equals(address));
    }

    private void tellLoads() {
        if (mClosed) {
            return;
        }
        mLoop.schedule(TellingRates.loadsMillis(), this::tellLoads);
        List<TargetLoad> loads = mSubscriber.loads();
        if (mMain != null && mMain.isUp() && !loads.equals(mLoadsTold)) {
            mLoadsTold = loads;
            TargetLoads news = TargetLoads.newBuilder().addAllTargets(loads).build();
            mMain.send(EntryFrame.newBuilder().setLoads(news).build());
        }
    }

    private String nextAddress() {
        List<String> all = new ArrayList<>(mAddresses);
        boolean near = mLinks.stream().anyMatch(this::isNear);
        String fallback = all.get(0);
        for (int i = 0; i < all.size(); i++) {
            String address = all.get(Math.floorMod(mNext++, all.size()));
            boolean free = mLinks.stream().noneMatch(link -> link.address().equals(address));
            if (free && (near || mayBeNear(address))) {
                return address;
            }
            fallback = free ? address : fallback;
        }
        return fallback;
    }

    /** Hears what control processes tell, on the control thread. */
    public interface Subscriber {
        /** Returns what opens a stream. */
        Hello hello();

        /** Returns what this entry has open at targets. */
        List<TargetLoad> loads();

        /**
         * Takes the answer of the control process at an address to a question that was sent at the
         * given time of the leases' clock.
         */
        void onAnswer(Answer answer, long askedAt, String control);

        /** Takes anything else that the control process at an address tells. */
        void onNews(ControlFrame frame, String control);
    }
}
