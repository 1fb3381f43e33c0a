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
package org.quilldyke.gateway.caller;

import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.stream.Collectors;
import org.quilldyke.caller.DisconnectedRuns;
import org.quilldyke.caller.RequestFingerprint;
import org.quilldyke.caller.SuspectRequests;
import org.quilldyke.caller.TargetCrash;

/** Detects crashed targets and the requests that they ran. Used on the traffic thread. */
final class CrashDetector {
    /**
     * Delay of a probe, which is skipped while a connection is open: all connections of a
     * terminated target close within this time.
     */
    private static final long PROBE_DELAY_MILLIS = 20;

    /**
     * Time after the end of an unframed answer at which a connection to its target shows that the
     * target still runs. The probe has made one by then, and a terminated target has closed all.
     */
    private static final long CONFIRM_COMPLETION_MILLIS = 200;

    private final EntryContext mEntry;
    private final DisconnectedRuns mDisconnectedRuns = DisconnectedRuns.create();
    private final SuspectRequests mSuspects = SuspectRequests.create();
    private CrashListener mListener = CrashListener.NONE;

    CrashDetector(EntryContext entry) {
        mEntry = entry;
    }

    void setListener(CrashListener listener) {
        mListener = listener;
    }

    SuspectRequests suspects() {
        return mSuspects;
    }

    /**
     * Handles a run whose target closed the connection; a probe shows if the target terminated.
     *
     * @param request the fingerprints of the request
     */
    void onRunDisconnected(String target, Set<RequestFingerprint> request) {
        mDisconnectedRuns.onDisconnected(target, request, mEntry.now());
        mEntry.loop()
                .schedule(
                        () -> mEntry.pool().probe(target),
                        PROBE_DELAY_MILLIS,
                        TimeUnit.MILLISECONDS);
    }

    /**
     * Handles a run whose answer ended with its connection and may be complete: it is, if its
     * target continues to run.
     */
    void onUnframedRunEnded(String target, Set<RequestFingerprint> request) {
        long endedAt = mEntry.now();
        onRunDisconnected(target, request);
        mEntry.loop()
                .schedule(
                        () -> confirmCompletion(target, request, endedAt),
                        CONFIRM_COMPLETION_MILLIS,
                        TimeUnit.MILLISECONDS);
    }

    private void confirmCompletion(String target, Set<RequestFingerprint> request, long endedAt) {
        if (!mEntry.pool().isConnected(target)) {
            return;
        }
        Set<RequestFingerprint> completed =
                request.stream()
                        .filter(r -> mDisconnectedRuns.hasSurvived(target, r, endedAt))
                        .collect(Collectors.toSet());
        recordCompletion(completed, endedAt);
    }

    /** A target refuses connections, is unresponsive, or has restarted. */
    void onTargetDown(String target) {
        long now = mEntry.now();
        mDisconnectedRuns
                .onTargetEnded(target, now)
                .filter(crash -> !mEntry.targetSelector().isLeaving(target))
                .ifPresent(crash -> reportCrash(crash, now));
    }

    /** A target has announced that it stops: connections that it then closes are no crash. */
    void onTargetLeft(String target) {
        mDisconnectedRuns.onTargetLeft(target);
    }

    void onRunCompleted(Set<RequestFingerprint> request) {
        recordCompletion(request, mEntry.now());
    }

    private void recordCompletion(Set<RequestFingerprint> request, long completedAt) {
        for (RequestFingerprint fingerprint : request) {
            if (mSuspects.onCompleted(fingerprint, completedAt)) {
                mListener.onSuspectCompleted(fingerprint, completedAt);
            }
        }
    }

    private void reportCrash(TargetCrash crash, long now) {
        Set<RequestFingerprint> requests =
                crash.requests().stream()
                        .filter(request -> !mSuspects.hasCompletedRecently(request, now))
                        .collect(Collectors.toSet());
        if (!requests.isEmpty()) {
            mListener.onCrash(new TargetCrash(crash.target(), requests, crash.crashedAt()));
        }
    }
}
