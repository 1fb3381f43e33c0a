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
package org.quilldyke.gateway.platform;

import com.codahale.metrics.Counter;
import com.codahale.metrics.Histogram;
import com.codahale.metrics.MetricRegistry;
import java.util.Locale;
import org.quilldyke.ResultCode;
import org.quilldyke.caller.CutCause;
import org.quilldyke.caller.OriginVerdict;
import org.quilldyke.manifest.RequestKind;
import org.quilldyke.routing.Distance;

/** The counters and histograms of a gateway process. Thread-safe. */
public final class GatewayMetrics {
    private final MetricRegistry mRegistry = new MetricRegistry();
    private final Counter mAttempts = mRegistry.counter("attempts");
    private final Counter mAnswered = mRegistry.counter("requests.answered");
    private final Counter mCallersGone = mRegistry.counter("requests.caller-gone");
    private final Counter mConnectionsClosed = mRegistry.counter("connections.closed");
    private final Histogram mAnswerMillis = mRegistry.histogram("answer.ms");
    private final Histogram mFirstEventMillis = mRegistry.histogram("first-event.ms");
    private final Histogram mPredictionError = mRegistry.histogram("first-event.late-ms");

    private final Histogram mQuotaMillis = mRegistry.histogram("quota.decision.ms");

    private final Counter mSentToRelay = mRegistry.counter("relay.sent");
    private final Counter mRelayed = mRegistry.counter("relay.accepted");
    private final Counter mPermitsLent = mRegistry.counter("permits.lent");
    private final Counter mPermitsDenied = mRegistry.counter("permits.denied");
    private final Counter mLeavesStated = mRegistry.counter("targets.leaving-stated");
    private final Counter mBrittle = mRegistry.counter("targets.brittle");
    private final Counter mRestsRequested = mRegistry.counter("targets.rests");
    private final Counter mAnswersSkipped = mRegistry.counter("targets.answers-skipped");
    private final Counter mIncarnationsChecked = mRegistry.counter("targets.incarnation-checks");
    private final Counter mOtherIncarnations = mRegistry.counter("targets.other-incarnations");
    private final Counter mPathsProbed = mRegistry.counter("paths.probes");

    private final Counter mCanaries = mRegistry.counter("rollout.canaries");
    private final Counter mNewResponses = mRegistry.counter("rollout.responses.new");
    private final Counter mOldResponses = mRegistry.counter("rollout.responses.old");
    private final Counter mNewBad = mRegistry.counter("rollout.bad.new");
    private final Counter mOldBad = mRegistry.counter("rollout.bad.old");

    private GatewayMetrics() {
        for (CutCause cause : CutCause.values()) {
            // Registered at the start, so that zero can be distinguished from a missing counter.
            mRegistry.counter("answers.cut." + cause.label());
        }
        for (OriginVerdict.Source source : OriginVerdict.Source.values()) {
            mRegistry.counter(resumedCounter(source));
        }
        for (Distance distance : Distance.values()) {
            mRegistry.counter("attempts." + distance.label());
            mRegistry.counter("attempts.body-bytes." + distance.label());
        }
    }

    /** Returns metrics that are all zero. */
    public static GatewayMetrics create() {
        return new GatewayMetrics();
    }

    /** Returns the registry. */
    public MetricRegistry registry() {
        return mRegistry;
    }

    /** Counts a request that was read. */
    public void onRequest(RequestKind kind) {
        mRegistry.counter("requests." + kind.name().toLowerCase(java.util.Locale.ROOT)).inc();
    }

    /** Counts a request sent to a target. */
    public void onAttempt() {
        mAttempts.inc();
    }

    /**
     * Counts a request sent to a target whose failure domain is known.
     *
     * @param distance how far the target is from this instance
     * @param bodyBytes the size of the request's body
     */
    public void onSent(Distance distance, int bodyBytes) {
        mRegistry.counter("attempts." + distance.label()).inc();
        mRegistry.counter("attempts.body-bytes." + distance.label()).inc(bodyBytes);
    }

    /** Counts a request that was answered completely. */
    public void onAnswered(long millis) {
        mAnswered.inc();
        mAnswerMillis.update(millis);
    }

    /** Records the time to the first event of a stream, and its difference from the prediction. */
    public void onFirstEvent(long millis, long predicted) {
        mFirstEventMillis.update(millis);
        mPredictionError.update(millis - predicted);
    }

    /** Counts a stream that was aborted after its start. */
    public void onCut(CutCause cause) {
        mRegistry.counter("answers.cut." + cause.label()).inc();
    }

    /** Counts a stream that its caller resumes, by how the version that began it was found. */
    public void onStreamResumed(OriginVerdict.Source source) {
        mRegistry.counter(resumedCounter(source)).inc();
    }

    private static String resumedCounter(OriginVerdict.Source source) {
        return "streams.resumed." + source.name().toLowerCase(Locale.ROOT).replace('_', '-');
    }

    /** Counts a request that was refused or failed. */
    public void onRefused(ResultCode code) {
        mRegistry.counter("refused." + code.label()).inc();
    }

    /** Counts a decision on a quota, and the wait for it. */
    public void onQuotaDecided(long millis) {
        mQuotaMillis.update(millis);
    }

    /** Counts a request that was sent to a target through another entry. */
    public void onSentToRelay() {
        mSentToRelay.inc();
    }

    /** Counts a request of another entry that was accepted for sending to a target. */
    public void onRelayed() {
        mRelayed.inc();
    }

    /** Counts a request of another entry for a permit of this one's share of a target's limit. */
    public void onPermitRequested(boolean isLent) {
        (isLent ? mPermitsLent : mPermitsDenied).inc();
    }

    /** Counts a target that asked for rest. */
    public void onRestRequested() {
        mRestsRequested.inc();
    }

    /** Counts a target whose answer was the first to state that it leaves. */
    public void onLeavingStated() {
        mLeavesStated.inc();
    }

    /** Counts a service whose targets fail if they have to refuse too many requests. */
    public void onBrittle() {
        mBrittle.inc();
    }

    /** Counts an answer of a target to another request than the one that was sent last. */
    public void onAnswerSkipped() {
        mAnswersSkipped.inc();
    }

    /** Counts a check whether a connection leads to the known incarnation of its target. */
    public void onIncarnationChecked(boolean isKnown) {
        mIncarnationsChecked.inc();
        if (!isKnown) {
            mOtherIncarnations.inc();
        }
    }

    /** Counts a probe of the path to a target. */
    public void onPathProbed() {
        mPathsProbed.inc();
    }

    /** Counts an attempt at a target of a version that is being rolled out. */
    public void onCanary() {
        mCanaries.inc();
    }

    /**
     * Counts a response to a request of a service with a running rollout.
     *
     * @param canary whether the target has the new version
     * @param bad whether the response is a failure or slow
     */
    public void onRolloutResponse(boolean canary, boolean bad) {
        (canary ? mNewResponses : mOldResponses).inc();
        if (bad) {
            (canary ? mNewBad : mOldBad).inc();
        }
    }

    /** Counts a caller that disconnected before its answer was complete. */
    public void onCallerGone() {
        mCallersGone.inc();
    }

    /** Counts a caller's connection that was closed. */
    public void onCallerClosed() {
        mConnectionsClosed.inc();
    }
}
