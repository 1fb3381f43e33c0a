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
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Optional;
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

    /** How often it is looked whether what is open at targets has changed. */
    private static final long LOADS_MILLIS = 100;

    private final NettyLoop mLoop;
    private final LongSupplier mClock;
    private final EventLog mLog;
    private final Subscriber mSubscriber;
    private final Set<String> mAddresses = new LinkedHashSet<>();
    private final List<ControlLink> mLinks = new ArrayList<>();
    private List<TargetLoad> mLoadsTold = List.of();
    private int mNext;
    private boolean mClosed;

    private ControlLinks(NettyLoop loop, LongSupplier clock, EventLog log, Subscriber subscriber) {
        mLoop = loop;
        mClock = clock;
        mLog = log;
        mSubscriber = subscriber;
    }

    /**
     * Starts to look for control processes; call it on the control thread.
     *
     * @param loop the control thread
     * @param clock monotonic milliseconds
     * @param log where gained and lost control processes go
     * @param addresses those known from the settings
     * @param first where among them to begin, so that entries spread over them
     * @param subscriber hears what they tell
     */
    public static ControlLinks start(
            NettyLoop loop,
            LongSupplier clock,
            EventLog log,
            List<String> addresses,
            int first,
            Subscriber subscriber) {
        ControlLinks links = new ControlLinks(loop, clock, log, subscriber);
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

    Question question(long number) {
        return mSubscriber.question(number);
    }

    void onAnswer(Answer answer, long askedAt) {
        onAddresses(answer.getControlAddressesList());
        mSubscriber.onAnswer(answer, askedAt);
    }

    void onNews(ControlFrame frame) {
        mSubscriber.onNews(frame);
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
                        link.close();
                    }
                    return stale;
                });
        while (mLinks.size() < Math.min(LINKS, mAddresses.size())) {
            ControlLink link = new ControlLink(mLoop, mClock, nextAddress(), this);
            mLinks.add(link);
            link.open();
        }
    }

    private void tellLoads() {
        if (mClosed) {
            return;
        }
        mLoop.schedule(LOADS_MILLIS, this::tellLoads);
        List<TargetLoad> loads = mSubscriber.loads();
        Optional<ControlLink> link = mLinks.stream().filter(ControlLink::isUp).findFirst();
        if (link.isPresent() && !loads.equals(mLoadsTold)) {
            mLoadsTold = loads;
            TargetLoads news = TargetLoads.newBuilder().addAllTargets(loads).build();
            link.get().send(EntryFrame.newBuilder().setLoads(news).build());
        }
    }

    private String nextAddress() {
        List<String> all = new ArrayList<>(mAddresses);
        for (int i = 0; i < all.size(); i++) {
            String address = all.get(Math.floorMod(mNext++, all.size()));
            if (mLinks.stream().noneMatch(link -> link.address().equals(address))) {
                return address;
            }
        }
        return all.get(0);
    }

    /** Hears what control processes tell, on the control thread. */
    public interface Subscriber {
        /** Returns what opens a stream. */
        Hello hello();

        /** Returns a question with the given number. */
        Question question(long number);

        /** Returns what this entry has open at targets. */
        List<TargetLoad> loads();

        /** Takes the answer to a question that was sent at the given time. */
        void onAnswer(Answer answer, long askedAt);

        /** Takes anything else. */
        void onNews(ControlFrame frame);
    }
}
