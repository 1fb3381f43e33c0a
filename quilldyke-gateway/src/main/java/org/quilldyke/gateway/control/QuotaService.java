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

import java.util.Map;
import java.util.Optional;
import java.util.function.BiConsumer;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import org.quilldyke.daemon.log.Event;
import org.quilldyke.daemon.log.EventLog;
import org.quilldyke.gateway.instance.QuotaFrames;
import org.quilldyke.gateway.instance.proto.ControlFrame;
import org.quilldyke.gateway.instance.proto.PeerFrame;
import org.quilldyke.gateway.instance.proto.QuotaInquiries;
import org.quilldyke.gateway.instance.proto.QuotaInquiry;
import org.quilldyke.gateway.instance.proto.QuotaVerdicts;
import org.quilldyke.quota.Quota;
import org.quilldyke.quota.QuotaGrant;
import org.quilldyke.quota.QuotaLedger;
import org.quilldyke.quota.QuotaPool;
import org.quilldyke.quota.QuotaPull;
import org.quilldyke.quota.QuotaRequest;
import org.quilldyke.quota.QuotaTolerance;
import org.quilldyke.quota.QuotaVerdict;

/**
 * Decides for entries which requests are within the quotas of their organisations.
 *
 * <p>Each control process decides with the units that the leader has granted to it; the leader
 * grants them to itself in the same way.
 */
final class QuotaService {
    /** At most one refusal is logged in this interval. */
    private static final long LOG_INTERVAL_MILLIS = 100;

    private final Leadership mLeadership;
    private final BooleanSupplier mIsCurrent;
    private final BiConsumer<String, PeerFrame.Builder> mToPeer;
    private final String mSelf;
    private final LongSupplier mClock;
    private final EventLog mLog;
    private final QuotaPool mPool;
    private final QuotaLedger mLedger;
    private long mLoggedAt = Long.MIN_VALUE / 2;
    private long mRefusalCount;

    /**
     * @param leadership provides the current leader
     * @param isCurrent returns whether {@link #onQuotas} has received all quotas that the leader
     *     has committed
     * @param toPeer sends a frame to the control process at an address
     * @param self the address of this process
     * @param clock monotonic milliseconds
     */
    QuotaService(
            Leadership leadership,
            BooleanSupplier isCurrent,
            BiConsumer<String, PeerFrame.Builder> toPeer,
            String self,
            QuotaTolerance tolerance,
            LongSupplier clock,
            EventLog log) {
        mLeadership = leadership;
        mIsCurrent = isCurrent;
        mToPeer = toPeer;
        mSelf = self;
        mClock = clock;
        mLog = log;
        mPool = QuotaPool.create(tolerance);
        mLedger = QuotaLedger.create(tolerance);
    }

    /** Applies the quotas of the current configuration, by organisation. */
    void onQuotas(Map<String, Quota> quotas) {
        mPool.onQuotas(quotas);
        mLedger.onQuotas(quotas, mClock.getAsLong());
    }

    /** Starts the ledger of a new leader. */
    void onElected(long term) {
        mLedger.onElected(term, mClock.getAsLong());
    }

    /** Handles an entry's inquiries; the verdicts are sent as they are decided. */
    void onInquiries(QuotaInquiries inquiries, Consumer<ControlFrame> toEntry) {
        VerdictBatch batch = new VerdictBatch(toEntry);
        mPool.onQuotasCurrent(mIsCurrent.getAsBoolean());
        for (QuotaInquiry inquiry : inquiries.getInquiriesList()) {
            mPool.onRequest(
                    new QuotaRequest(
                            inquiry.getOrganisation(),
                            inquiry.getCost(),
                            inquiry.getPriority(),
                            verdict -> onVerdict(inquiry, verdict, batch)),
                    mClock.getAsLong());
        }
        batch.flush();
        advance();
    }

    /** Handles another control process's request for units; only a leader responds. */
    void onPull(String from, org.quilldyke.gateway.instance.proto.QuotaPull pull) {
        if (mLeadership.holdsLease()) {
            QuotaGrant grant = mLedger.onPull(from, QuotaFrames.decode(pull), mClock.getAsLong());
            mToPeer.accept(from, PeerFrame.newBuilder().setQuotaGrant(QuotaFrames.encode(grant)));
        }
    }

    /** Handles the leader's response. */
    void onGrant(org.quilldyke.gateway.instance.proto.QuotaGrant grant) {
        mPool.onGrant(QuotaFrames.decode(grant), mClock.getAsLong());
        advance();
    }

    /** Requests units from the leader if that is due; called periodically. */
    void tick(int controlProcesses) {
        mPool.onProcessCount(controlProcesses);
        advance();
    }

    private void advance() {
        long now = mClock.getAsLong();
        Optional<String> leader = mLeadership.leaderAddress();
        boolean leads = mLeadership.holdsLease();
        Optional<QuotaPull> pull = mPool.nextPull(leads || leader.isPresent(), now);
        if (pull.isEmpty()) {
            return;
        }
        if (leads) {
            mPool.onGrant(mLedger.onPull(mSelf, pull.get(), now), now);
        } else {
            mToPeer.accept(
                    leader.get(),
                    PeerFrame.newBuilder().setQuotaPull(QuotaFrames.encode(pull.get())));
        }
    }

    private void onVerdict(QuotaInquiry inquiry, QuotaVerdict verdict, VerdictBatch batch) {
        batch.add(QuotaFrames.encode(inquiry.getNumber(), verdict));
        if (verdict.kind() == QuotaVerdict.Kind.ADMITTED) {
            return;
        }
        mRefusalCount++;
        long now = mClock.getAsLong();
        if (now - mLoggedAt >= LOG_INTERVAL_MILLIS) {
            mLoggedAt = now;
            mLog.write(
                    Event.QUOTA_REFUSED,
                    "org",
                    inquiry.getOrganisation(),
                    "verdict",
                    verdict.kind(),
                    "units",
                    inquiry.getCost(),
                    "held",
                    mPool.available(inquiry.getOrganisation(), now),
                    "retry_ms",
                    verdict.retryAfterMillis(),
                    "leader",
                    mLeadership.leaderAddress().orElse(mLeadership.holdsLease() ? mSelf : ""),
                    "refused",
                    mRefusalCount);
        }
    }

    /** Provides the current leader of the control processes. */
    interface Leadership {
        /** Returns whether this process leads and no other one can. */
        boolean holdsLease();

        /** Returns the address of the leader, if it is known and another process. */
        Optional<String> leaderAddress();
    }

    /** Sends the verdicts that are decided at once in one frame, and later ones by themselves. */
    private static final class VerdictBatch {
        private final Consumer<ControlFrame> mToEntry;
        private QuotaVerdicts.Builder mVerdicts = QuotaVerdicts.newBuilder();
        private boolean mFlushed;

        VerdictBatch(Consumer<ControlFrame> toEntry) {
            mToEntry = toEntry;
        }

        void add(org.quilldyke.gateway.instance.proto.QuotaVerdict verdict) {
            mVerdicts.addVerdicts(verdict);
            if (mFlushed) {
                flush();
            }
        }

        void flush() {
            mFlushed = true;
            if (mVerdicts.getVerdictsCount() > 0) {
                mToEntry.accept(ControlFrame.newBuilder().setQuotas(mVerdicts).build());
                mVerdicts = QuotaVerdicts.newBuilder();
            }
        }
    }
}
