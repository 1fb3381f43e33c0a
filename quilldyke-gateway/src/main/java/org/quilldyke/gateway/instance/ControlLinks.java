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
import org.quilldyke.gateway.instance.proto.RolloutReport;
import org.quilldyke.gateway.instance.proto.TargetLoad;
import org.quilldyke.gateway.instance.proto.TargetLoads;
import org.quilldyke.instance.ControlLinkPlanner;

/**
 * Maintains the streams of an entry process to two control processes, and to others when these
 * fail, as a {@link ControlLinkPlanner} decides. Confined to the control thread.
 */
public final class ControlLinks {
    private static final long CHECK_MILLIS = 250;

    private final NettyLoop mLoop;
    private final LongSupplier mClock;
    private final LongSupplier mLeaseClock;
    private final EventLog mLog;
    private final Subscriber mSubscriber;
    private final ControlLinkPlanner mPlanner;
    private final RegionBytes mRegionBytes;
    private final Map<String, ControlLink> mLinks = new LinkedHashMap<>();
    private List<TargetLoad> mLoadsSent = List.of();
    private List<RolloutReport> mRolloutReportsSent = List.of();
    private ControlLink mMain;
    private boolean mClosed;

    private ControlLinks(
            NettyLoop loop,
            LongSupplier clock,
            LongSupplier leaseClock,
            EventLog log,
            ControlLinkPlanner planner,
            RegionBytes regionBytes,
            Subscriber subscriber) {
        mLoop = loop;
        mClock = clock;
        mLeaseClock = leaseClock;
        mLog = log;
        mPlanner = planner;
        mRegionBytes = regionBytes;
        mSubscriber = subscriber;
    }

    /**
     * Starts to connect to control processes; called on the control thread.
     *
     * @param loop the control thread
     * @param clock monotonic milliseconds
     * @param leaseClock milliseconds of the clock for leases
     * @param log receives an event when a stream opens or ends
     * @param planner decides which streams to open and to close
     * @param regionBytes counts the bytes that are sent to other regions
     * @param seeds the addresses of control processes in the settings
     * @param subscriber receives the messages of control processes
     */
    public static ControlLinks start(
            NettyLoop loop,
            LongSupplier clock,
            LongSupplier leaseClock,
            EventLog log,
            ControlLinkPlanner planner,
            RegionBytes regionBytes,
            List<String> seeds,
            Subscriber subscriber) {
        ControlLinks links =
                new ControlLinks(loop, clock, leaseClock, log, planner, regionBytes, subscriber);
        links.onSeeds(seeds);
        links.check();
        links.sendLoads();
        return links;
    }

    /** Applies the addresses of control processes after the settings have changed. */
    public void onSeeds(List<String> addresses) {
        mPlanner.onSeeds(addresses, mClock.getAsLong());
    }

    /** Sends a frame on all streams that are up. */
    public void sendToAll(EntryFrame frame) {
        mLinks.values().stream().filter(ControlLink::isUp).forEach(link -> link.send(frame));
    }

    /**
     * Sends a frame on one stream that is up, if there is any.
     *
     * @param preferMain whether the main stream is preferred, or another one
     */
    public void sendToOne(EntryFrame frame, boolean preferMain) {
        List<ControlLink> up = mLinks.values().stream().filter(ControlLink::isUp).toList();
        up.stream()
                .filter(link -> (link == mMain) == preferMain)
                .findFirst()
                .or(() -> up.stream().findFirst())
                .ifPresent(link -> link.send(frame));
    }

    /** Closes all streams permanently. */
    public void close() {
        mClosed = true;
        mLinks.values().forEach(ControlLink::close);
        mLinks.clear();
    }

    /** Returns whether any stream is up. */
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
     * Handles a message other than an answer. Loads of other entries are accepted on the main
     * stream only: those of another control process may include this entry's own.
     */
    void onNews(ControlLink link, ControlFrame frame) {
        if (!frame.hasLoads() || link == mMain) {
            mSubscriber.onNews(frame, link.address());
        }
    }

    /**
     * Returns whether a link is the main one, on which this entry sends its loads and receives
     * cache contents and other entries' loads. It is one that is up, preferably to the nearest
     * control process.
     */
    private boolean isMain(ControlLink link) {
        boolean replaced = mMain == null || mLinks.get(mMain.address()) != mMain || !mMain.isUp();
        if (replaced || link.isUp() && mPlanner.isNearer(link.address(), mMain.address())) {
            mMain = link;
            mLoadsSent = List.of();
            mRolloutReportsSent = List.of();
            // The control process sends loads only when they change, so the last ones are current.
            mSubscriber.onNews(link.othersLoads(), link.address());
        }
        return mMain == link;
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
        ControlLink link = new ControlLink(mLoop, mClock, mLeaseClock, address, mRegionBytes, this);
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

    private void sendLoads() {
        if (mClosed) {
            return;
        }
        mLoop.schedule(TellingRates.loadsMillis(), this::sendLoads);
        List<TargetLoad> loads = mSubscriber.loads();
        if (mMain != null && mMain.isUp() && !loads.equals(mLoadsSent)) {
            mLoadsSent = loads;
            TargetLoads news = TargetLoads.newBuilder().addAllTargets(loads).build();
            mMain.send(EntryFrame.newBuilder().setLoads(news).build());
        }
        sendRolloutReports();
    }

    private void sendRolloutReports() {
        List<RolloutReport> reports = mSubscriber.rolloutReports();
        if (mMain == null || !mMain.isUp() || reports == mRolloutReportsSent) {
            return;
        }
        for (RolloutReport report : reports) {
            if (!mRolloutReportsSent.contains(report)) {
                mMain.send(EntryFrame.newBuilder().setRolloutReport(report).build());
            }
        }
        mRolloutReportsSent = reports;
    }

    /**
     * The time at which a question was sent.
     *
     * @param at in milliseconds of the monotonic clock
     * @param leaseAt in milliseconds of the clock for leases
     */
    record Asked(long at, long leaseAt) {}

    /** Receives the messages of control processes, on the control thread. */
    public interface Subscriber {
        /** Returns the first message of a stream. */
        Hello hello();

        /** Returns this entry's open requests and tokens at targets. */
        List<TargetLoad> loads();

        /** Returns what this entry has observed of the running rollouts, one report a service. */
        List<RolloutReport> rolloutReports();

        /**
         * Handles an answer to a question.
         *
         * @param askedAt when the question was sent, in milliseconds of the clock for leases
         * @param control the address of the control process
         */
        void onAnswer(Answer answer, long askedAt, String control);

        /** Handles any other message of the control process at an address. */
        void onNews(ControlFrame frame, String control);
    }
}
