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
package org.quilldyke.gateway;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.Executor;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import org.quilldyke.caller.OriginVerdict;
import org.quilldyke.caller.StreamOrigin;
import org.quilldyke.caller.StreamOrigins;
import org.quilldyke.gateway.caller.OriginGate;
import org.quilldyke.gateway.instance.ControlLinks;
import org.quilldyke.gateway.instance.NettyLoop;
import org.quilldyke.gateway.instance.OriginFrames;
import org.quilldyke.gateway.instance.proto.EntryFrame;
import org.quilldyke.gateway.instance.proto.OriginInquiry;

/**
 * Asks control processes for the origins of streams, and reports those of this entry. Its state is
 * confined to the control thread.
 */
final class OriginClient implements OriginGate {
    /** Origins reach all control processes within about this time. */
    private static final long RETRY_MILLIS = 150;

    private static final int MAX_ATTEMPTS = 3;

    /** Origins that a control process receives when it is connected. */
    private static final int MAX_IN_HELLO = 2000;

    private final NettyLoop mControl;
    private final Executor mTraffic;
    private final LongSupplier mClock;
    private final StreamOrigins mPublished = StreamOrigins.create();
    private final Map<Long, Pending> mPending = new HashMap<>();
    private ControlLinks mLinks;
    private long mLastNumber;

    /**
     * @param control the control thread
     * @param traffic the traffic thread
     * @param clock monotonic milliseconds
     */
    OriginClient(NettyLoop control, Executor traffic, LongSupplier clock) {
        mControl = control;
        mTraffic = traffic;
        mClock = clock;
    }

    /** Sets the links to control processes; called on the control thread. */
    void setLinks(ControlLinks links) {
        mLinks = links;
    }

    @Override
    public void find(
            String attempt,
            String organisation,
            String service,
            Consumer<OriginVerdict> onVerdict) {
        mControl.execute(
                () -> {
                    OriginInquiry inquiry =
                            OriginInquiry.newBuilder()
                                    .setNumber(++mLastNumber)
                                    .setAttempt(attempt)
                                    .setOrganisation(organisation)
                                    .setService(service)
                                    .build();
                    mPending.put(inquiry.getNumber(), new Pending(inquiry, onVerdict));
                    ask(inquiry.getNumber());
                });
    }

    @Override
    public void publish(List<StreamOrigin> origins) {
        mControl.execute(
                () -> {
                    long now = mClock.getAsLong();
                    origins.forEach(origin -> mPublished.add(origin, now));
                    send(
                            EntryFrame.newBuilder()
                                    .setStreamOrigins(OriginFrames.encode(origins, now))
                                    .build(),
                            true);
                });
    }

    /** Returns the origins for a control process that is connected. */
    org.quilldyke.gateway.instance.proto.StreamOrigins published() {
        long now = mClock.getAsLong();
        return OriginFrames.encode(mPublished.newest(MAX_IN_HELLO, now), now);
    }

    /** Handles the verdict of a control process; an unknown origin may be reported meanwhile. */
    void onVerdict(org.quilldyke.gateway.instance.proto.OriginVerdict verdict) {
        OriginVerdict decoded = OriginFrames.decode(verdict);
        Pending pending = mPending.get(verdict.getNumber());
        if (decoded.isKnown()) {
            complete(verdict.getNumber(), decoded);
        } else if (pending != null) {
            pending.mLastVerdict = decoded;
        }
    }

    private void ask(long number) {
        Pending pending = mPending.get(number);
        if (pending == null) {
            return;
        }
        if (pending.mAttempts == MAX_ATTEMPTS) {
            complete(number, pending.mLastVerdict);
            return;
        }
        boolean toMain = pending.mAttempts % 2 == 0;
        pending.mAttempts++;
        send(EntryFrame.newBuilder().setOriginInquiry(pending.mInquiry).build(), toMain);
        mControl.schedule(RETRY_MILLIS, () -> ask(number));
    }

    private void complete(long number, OriginVerdict verdict) {
        Pending pending = mPending.remove(number);
        if (pending != null) {
            mTraffic.execute(() -> pending.mOnVerdict.accept(verdict));
        }
    }

    private void send(EntryFrame frame, boolean toMain) {
        if (mLinks != null) {
            mLinks.sendToOne(frame, toMain);
        }
    }

    private static final class Pending {
        private final OriginInquiry mInquiry;
        private final Consumer<OriginVerdict> mOnVerdict;
        private int mAttempts;

        /** The verdict of the last control process to answer, which did not know the origin. */
        private OriginVerdict mLastVerdict = OriginVerdict.unavailable();

        Pending(OriginInquiry inquiry, Consumer<OriginVerdict> onVerdict) {
            mInquiry = inquiry;
            mOnVerdict = onVerdict;
        }
    }
}
