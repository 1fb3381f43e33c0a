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

import java.util.List;
import java.util.concurrent.Executor;
import java.util.function.LongSupplier;
import org.quilldyke.gateway.caller.QuotaGate;
import org.quilldyke.gateway.instance.ControlLinks;
import org.quilldyke.gateway.instance.NettyLoop;
import org.quilldyke.gateway.instance.QuotaFrames;
import org.quilldyke.gateway.instance.proto.EntryFrame;
import org.quilldyke.gateway.instance.proto.QuotaInquiry;
import org.quilldyke.gateway.instance.proto.QuotaVerdict;
import org.quilldyke.gateway.instance.proto.QuotaVerdicts;
import org.quilldyke.quota.QuotaInquiries;
import org.quilldyke.quota.QuotaRequest;

/**
 * Asks control processes whether requests are within their organisations' quotas. All requests that
 * arrive together are sent in one frame.
 */
final class QuotaClient implements QuotaGate {
    private final NettyLoop mControl;
    private final Executor mTraffic;
    private final LongSupplier mClock;
    private final QuotaInquiries mInquiries = QuotaInquiries.create();
    private ControlLinks mLinks;
    private boolean mFlushScheduled;
    private boolean mCheckScheduled;

    /**
     * @param control the control thread
     * @param traffic the traffic thread
     * @param clock monotonic milliseconds
     */
    QuotaClient(NettyLoop control, Executor traffic, LongSupplier clock) {
        mControl = control;
        mTraffic = traffic;
        mClock = clock;
    }

    /** Sets the links to control processes; called on the control thread. */
    void setLinks(ControlLinks links) {
        mLinks = links;
    }

    @Override
    public void decide(QuotaRequest request, long giveUpAt) {
        QuotaRequest onTraffic =
                new QuotaRequest(
                        request.organisation(),
                        request.cost(),
                        request.priority(),
                        verdict -> mTraffic.execute(() -> request.onVerdict().accept(verdict)));
        mControl.execute(
                () -> {
                    mInquiries.add(onTraffic, giveUpAt, mClock.getAsLong());
                    if (!mFlushScheduled) {
                        mFlushScheduled = true;
                        mControl.execute(this::flush);
                    }
                });
    }

    /** Handles the verdicts of a control process; called on the control thread. */
    void onVerdicts(QuotaVerdicts verdicts) {
        long now = mClock.getAsLong();
        for (QuotaVerdict verdict : verdicts.getVerdictsList()) {
            mInquiries.onVerdict(verdict.getNumber(), QuotaFrames.decode(verdict), now);
        }
    }

    private void flush() {
        mFlushScheduled = false;
        List<QuotaInquiries.Inquiry> due = mInquiries.takeDue(mClock.getAsLong());
        send(due.stream().filter(inquiry -> inquiry.attempt() % 2 == 0).toList(), true);
        send(due.stream().filter(inquiry -> inquiry.attempt() % 2 != 0).toList(), false);
        scheduleCheck();
    }

    private void send(List<QuotaInquiries.Inquiry> due, boolean toMain) {
        if (due.isEmpty() || mLinks == null) {
            return;
        }
        var frame = org.quilldyke.gateway.instance.proto.QuotaInquiries.newBuilder();
        for (QuotaInquiries.Inquiry inquiry : due) {
            frame.addInquiries(
                    QuotaInquiry.newBuilder()
                            .setNumber(inquiry.number())
                            .setOrganisation(inquiry.request().organisation())
                            .setCost(inquiry.request().cost())
                            .setPriority(inquiry.request().priority()));
        }
        mLinks.sendToOne(EntryFrame.newBuilder().setQuotas(frame).build(), toMain);
    }

    private void scheduleCheck() {
        if (!mCheckScheduled && !mInquiries.isEmpty()) {
            mCheckScheduled = true;
            mControl.schedule(
                    QuotaInquiries.CHECK_MILLIS,
                    () -> {
                        mCheckScheduled = false;
                        flush();
                    });
        }
    }
}
