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
import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import java.util.function.Supplier;
import org.quilldyke.caller.OriginEvidence;
import org.quilldyke.caller.OriginVerdict;
import org.quilldyke.caller.StreamOrigin;
import org.quilldyke.caller.StreamOrigins;
import org.quilldyke.engine.VersionHistory;
import org.quilldyke.gateway.instance.OriginFrames;
import org.quilldyke.gateway.instance.proto.OriginInquiry;
import org.quilldyke.gateway.instance.proto.PeerFrame;
import org.quilldyke.manifest.FleetState;

/**
 * Replicates to all control processes which software version began a stream, so that an entry that
 * has not served the stream can continue it. Entries report no streams of a service while its only
 * recorded version is known to be the only one.
 */
final class OriginReplication {
    private static final long TO_PEERS_MILLIS = 100;

    /** Origins that a peer receives when it is connected. */
    private static final int MAX_IN_SNAPSHOT = 5000;

    private final Consumer<PeerFrame.Builder> mToPeers;
    private final Consumer<Consumer<Boolean>> mConfirm;
    private final Supplier<FleetState> mState;
    private final OriginJournal mJournal;
    private final LongSupplier mClock;
    private final StreamOrigins mOrigins = StreamOrigins.create();
    private final List<StreamOrigin> mUnsent = new ArrayList<>();
    private long mSentAt;

    /**
     * @param toPeers sends to all other control processes
     * @param confirm confirms that all that was committed before the call is applied here
     * @param state the applied state
     * @param journal saves origins to disk
     */
    OriginReplication(
            Consumer<PeerFrame.Builder> toPeers,
            Consumer<Consumer<Boolean>> confirm,
            Supplier<FleetState> state,
            OriginJournal journal,
            LongSupplier clock) {
        mToPeers = toPeers;
        mConfirm = confirm;
        mState = state;
        mJournal = journal;
        mClock = clock;
        long now = clock.getAsLong();
        journal.restored().forEach(origin -> mOrigins.add(origin, now));
    }

    /** Handles the origins that an entry reports. */
    void onEntryReport(org.quilldyke.gateway.instance.proto.StreamOrigins report) {
        long now = mClock.getAsLong();
        for (StreamOrigin origin : OriginFrames.decode(report, now)) {
            if (add(origin, now)) {
                mUnsent.add(origin);
            }
        }
    }

    /** Handles the origins that another control process has received. */
    void onPeerReport(org.quilldyke.gateway.instance.proto.StreamOrigins report) {
        long now = mClock.getAsLong();
        OriginFrames.decode(report, now).forEach(origin -> add(origin, now));
    }

    private boolean add(StreamOrigin origin, long now) {
        boolean isNew = mOrigins.add(origin, now);
        if (isNew) {
            mJournal.add(origin, now);
        }
        return isNew;
    }

    /** Returns the newest origins, for a peer that is connected. */
    org.quilldyke.gateway.instance.proto.StreamOrigins snapshot() {
        long now = mClock.getAsLong();
        return OriginFrames.encode(mOrigins.newest(MAX_IN_SNAPSHOT, now), now);
    }

    /** Saves new origins and sends them to peers when due. */
    void tick() {
        long now = mClock.getAsLong();
        mJournal.tick(now);
        if (now - mSentAt < TO_PEERS_MILLIS) {
            return;
        }
        mSentAt = now;
        if (!mUnsent.isEmpty()) {
            mToPeers.accept(
                    PeerFrame.newBuilder().setStreamOrigins(OriginFrames.encode(mUnsent, now)));
            mUnsent.clear();
        }
    }

    /**
     * Determines which software version may continue a stream; the verdict is delivered at once or
     * after a linearizable read of the recorded versions.
     */
    void find(OriginInquiry inquiry, Consumer<OriginVerdict> onVerdict) {
        Optional<OriginVerdict> reported = reported(inquiry);
        if (reported.isPresent()) {
            onVerdict.accept(reported.get());
            return;
        }
        mConfirm.accept(
                confirmed ->
                        onVerdict.accept(
                                reported(inquiry).orElseGet(() -> ofVersions(inquiry, confirmed))));
    }

    private Optional<OriginVerdict> reported(OriginInquiry inquiry) {
        long now = mClock.getAsLong();
        return mOrigins.find(
                        inquiry.getAttempt(), inquiry.getOrganisation(), inquiry.getService(), now)
                .map(origin -> OriginVerdict.ofRecord(OriginVerdict.Source.REPORTED, origin, now));
    }

    /** A stream began at a recorded version; at which one is known if there is only one. */
    private OriginVerdict ofVersions(OriginInquiry inquiry, boolean confirmed) {
        if (!confirmed) {
            return OriginVerdict.unavailable();
        }
        FleetState state = mState.get();
        VersionHistory history = state.versionHistory();
        String service = inquiry.getService();
        OriginEvidence evidence =
                OriginEvidence.ofVersions(history.versions(service), state.lastChangeIndex());
        return history.soleVersion(service)
                .map(
                        version ->
                                new OriginVerdict(
                                        OriginVerdict.Source.SOLE_VERSION, version, evidence))
                .orElseGet(() -> OriginVerdict.unknown(evidence));
    }
}
