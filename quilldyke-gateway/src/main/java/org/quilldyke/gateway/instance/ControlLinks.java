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

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
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
import org.quilldyke.instance.ControlLinkPlanner;

/**
 * Keeps an entry process in touch with two control processes, and with others when these fail, as a
 * planner decides. Lives on the control thread.
 */
public final class ControlLinks {
    private static final long CHECK_MILLIS = 250;

    private final NettyLoop mLoop;
    private final LongSupplier mClock;
    private final LongSupplier mLeaseClock;
    private final EventLog mLog;
    private final Subscriber mSubscriber;
    private final ControlLinkPlanner mPlanner;
    private final Map<String, ControlLink> mLinks = new LinkedHashMap<>();
    private List<TargetLoad> mLoadsTold = List.of();
    private ControlLink mMain;
    private boolean mClosed;

    private ControlLinks(
            NettyLoop loop,
            LongSupplier clock,
            LongSupplier leaseClock,
            EventLog log,
            ControlLinkPlanner planner,
            Subscriber subscriber) {
        mLoop = loop;
        mClock = clock;
        mLeaseClock = leaseClock;
        mLog = log;
        mPlanner = planner;
        mSubscriber = subscriber;
    }

    /**
     * Starts to look for control processes; call it on the control thread.
     *
     * @param loop the control thread
     * @param clock monotonic milliseconds
     * @param leaseClock the time by which leases end, in milliseconds
     * @param log where gained and lost control processes go
     * @param planner decides to which control processes there are streams
     * @param seeds the addresses known from the settings
     * @param subscriber hears what they tell
     */
    public static ControlLinks start(
            NettyLoop loop,
            LongSupplier clock,
            LongSupplier leaseClock,
            EventLog log,
            ControlLinkPlanner planner,
            List<String> seeds,
            Subscriber subscriber) {
        ControlLinks links = new ControlLinks(loop, clock, leaseClock, log, planner, subscriber);
        links.onSeeds(seeds);
        links.check();
        links.tellLoads();
        return links;
    }

    /** Takes the addresses of control processes that the settings name now. */
    public void onSeeds(List<String> addresses) {
        mPlanner.onSeeds(addresses, mClock.getAsLong());
    }

    /** Sends a frame to all control processes that are in reach. */
    public void sendToAll(EntryFrame frame) {
        mLinks.values().stream().filter(ControlLink::isUp).forEach(link -> link.send(frame));
    }

    /**
     * Sends a frame to one control process in reach, if there is any.
     *
     * @param preferMain whether that is the main one if possible, or rather another one
     */
    public void sendToOne(EntryFrame frame, boolean preferMain) {
        List<ControlLink> up = mLinks.values().stream().filter(ControlLink::isUp).toList();
        up.stream()
                .filter(link -> (link == mMain) == preferMain)
                .findFirst()
                .or(() -> up.stream().findFirst())
                .ifPresent(link -> link.send(frame));
    }

    /** Closes all streams for good. */
    public void close() {
        mClosed = true;
        mLinks.values().forEach(ControlLink::close);
        mLinks.clear();
    }

    /** Returns whether any control process is in reach. */
    public boolean isUp() {
        return mLinks.values().stream().anyMatch(ControlLink::isUp);
    }

    Hello hello() {
        return mSubscriber.hello();
    }

    Question question(ControlLink link, long number) {
        return Question.newBuilder().setNumber(number).setMain(isMain(link)).build();
    }

    void onAnswer(ControlLink link, Answer answer, Asked asked) {
        long now = mClock.getAsLong();
        mPlanner.onConfirmed(link.address(), asked.at());
        mPlanner.onReachableAddresses(answer.getControlAddressesList(), now);
        mPlanner.onFailureDomain(link.address(), answer.getFailureDomain(), now);
        mSubscriber.onAnswer(answer, asked.leaseAt(), link.address());
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
        boolean replaced = mMain == null || mLinks.get(mMain.address()) != mMain || !mMain.isUp();
        if (replaced || isNear(link) && link.isUp() && !isNear(mMain)) {
            mMain = link;
            mLoadsTold = List.of();
            // A process that has nothing new to tell tells nothing: what it told last still holds.
            mSubscriber.onNews(link.othersLoads(), link.address());
        }
        return mMain == link;
    }

    private boolean isNear(ControlLink link) {
        return mPlanner.isInOwnDomain(link.address());
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
        ControlLinkPlanner.Plan plan = mPlanner.plan(now);
        plan.close().forEach(address -> close(mLinks.remove(address), now));
        plan.open().forEach(address -> open(address, now));
    }

    private void close(ControlLink link, long now) {
        mLog.write(
                Event.CONTROL_LEFT,
                "control",
                link.address(),
                "unconfirmed_ms",
                now - link.confirmedAt());
        link.close();
    }

    private void open(String address, long now) {
        ControlLink link = new ControlLink(mLoop, mClock, mLeaseClock, address, this);
        mLinks.put(address, link);
        mLog.write(
                Event.CONTROL_TRIED,
                "control",
                address,
                "links",
                mLinks.size(),
                "known",
                mPlanner.addressCount(),
                "unconfirmed_ms",
                mPlanner.unconfirmedMillis(now));
        link.open();
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

    /**
     * When a question was sent.
     *
     * @param at by the steady clock
     * @param leaseAt by the leases' clock
     */
    record Asked(long at, long leaseAt) {}

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
