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

import io.netty.channel.EventLoop;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.Set;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import org.quilldyke.caller.ForwardRequest;
import org.quilldyke.caller.Forwarding;
import org.quilldyke.caller.KeyLease;
import org.quilldyke.caller.RetryShare;
import org.quilldyke.caller.ServiceRetryBudget;
import org.quilldyke.caller.ShutdownAdmission;
import org.quilldyke.caller.SuspectRequests;
import org.quilldyke.daemon.log.Event;
import org.quilldyke.daemon.log.EventLog;
import org.quilldyke.engine.TargetReport;
import org.quilldyke.engine.VersionHistory;
import org.quilldyke.gateway.dialect.Dialect;
import org.quilldyke.gateway.engine.AnswerMemory;
import org.quilldyke.gateway.engine.AttemptListener;
import org.quilldyke.gateway.engine.MonitoredAttempt;
import org.quilldyke.gateway.engine.OpenAttempt;
import org.quilldyke.gateway.engine.TargetConnectionPool;
import org.quilldyke.gateway.platform.GatewayMetrics;
import org.quilldyke.gateway.relay.RelayClient;
import org.quilldyke.manifest.Limits;
import org.quilldyke.manifest.RouteTable;
import org.quilldyke.quota.QuotaVerdict;
import org.quilldyke.routing.AdvertisedLimit;
import org.quilldyke.routing.Choice;
import org.quilldyke.routing.TargetNotice;
import org.quilldyke.routing.TargetSelector;

/**
 * State and services shared by all requests of an entry instance. Used on the traffic thread only.
 */
public final class EntryContext {
    /** Interval of the checks whether a target that is no longer reported still responds. */
    private static final long LIVENESS_CHECK_MILLIS = 500;

    /** Interval of the checks whether a few streams delay a target's loading of weights. */
    private static final long LOADING_DELAY_CHECK_MILLIS = 100;

    /** Interval of the checks, during a shutdown, for streams that won't complete in time. */
    private static final long SHUTDOWN_CHECK_MILLIS = 100;

    private static final long NO_VERSION = -1;

    /** Logged as the source of a limit that was read from an answer, not sent by control. */
    private static final String SOURCE_ANSWER = "answer";

    private final EventLoop mLoop;
    private final LongSupplier mClock;
    private final LongSupplier mLeaseClock;
    private final Dialect mDialect;
    private final TargetSelector mTargetSelector;
    private final TargetConnectionPool mPool;
    private final RetryShare mRetryShare;
    private final ServiceRetryBudget mRetryBudget;
    private final ShutdownAdmission mShutdownAdmission = ShutdownAdmission.create();
    private final AnswerMemory mAnswerMemory = AnswerMemory.ofEntry();
    private final KeyLease mKeyLease;
    private final long mMaxApplyMillis;
    private final EventLog mLog;
    private final GatewayMetrics mMetrics;
    private final Map<String, Set<Exchange>> mExchangesByTarget = new HashMap<>();

    /** Targets that control has removed but that still respond. */
    private final Set<String> mUnreported = new HashSet<>();

    private final CrashDetector mCrashDetector = new CrashDetector(this);
    private final RelayClient mRelays;
    private final PathProber mPathProber;
    private final EntryRollouts mRollouts;
    private final EntryStreams mStreams = new EntryStreams(this);
    private QuotaGate mQuotaGate =
            (request, giveUpAt) -> request.onVerdict().accept(QuotaVerdict.unavailable());
    private Consumer<AdvertisedLimit> mLimitConsumer = limit -> {};
    private RouteTable mRoutes;
    private long mLogIndex = NO_VERSION;
    private String mConfirmedBy = "";
    private int mLoggedRetrySharers;
    private OptionalLong mDrainStartedAt = OptionalLong.empty();

    private EntryContext(EntryDependencies dependencies) {
        mLoop = dependencies.loop();
        mClock = dependencies.clock();
        mLeaseClock = dependencies.leaseClock();
        mDialect = dependencies.dialect();
        mTargetSelector = dependencies.targetSelector();
        mRetryShare = dependencies.retryShare();
        mRetryBudget = dependencies.retryBudget();
        mKeyLease = dependencies.keyLease();
        mMaxApplyMillis = dependencies.maxApplyMillis();
        mLog = dependencies.log();
        mPool =
                TargetConnectionPool.create(
                        mLoop, mDialect.targets(), mClock, new ConnectionObserver(this));
        mMetrics = dependencies.metrics();
        mRelays = RelayClient.create(mLoop, mClock);
        mPathProber = new PathProber(this);
        mRollouts = new EntryRollouts(this, ThreadLocalRandom.current().nextLong());
    }

    /** Returns a context without a configuration. */
    public static EntryContext of(EntryDependencies dependencies) {
        return new EntryContext(dependencies);
    }

    /**
     * Applies a configuration.
     *
     * @param routes its routes
     * @param logIndex the index in the replicated log at which it was accepted
     */
    public void onRoutes(RouteTable routes, long logIndex) {
        mRoutes = routes;
        mLogIndex = logIndex;
        mTargetSelector.onServices(routes.manifest().services());
    }

    /** Applies which software versions are recorded to serve, or to have served. */
    public void onVersionHistory(VersionHistory history) {
        mTargetSelector.versions().onHistory(history);
        mTargetSelector.onVersionsChanged();
        mStreams.onVersionHistory(history);
    }

    /**
     * Stops routing to a target.
     *
     * @param unannounced whether it was removed without a notice of its own, such as by the expiry
     *     of its lease; it is then kept while it responds, and afterwards its open requests are
     *     sent to successors
     */
    public void onTargetRemoved(String target, boolean unannounced) {
        if (unannounced && mTargetSelector.isResponding(target, now())) {
            // Its reports don't arrive, but its answers do.
            mUnreported.add(target);
            mLoop.schedule(
                    () -> checkUnreported(target), LIVENESS_CHECK_MILLIS, TimeUnit.MILLISECONDS);
            return;
        }
        if (unannounced) {
            mCrashDetector.onTargetDown(target);
        } else {
            mCrashDetector.onTargetLeft(target);
        }
        removeTarget(target);
        if (unannounced) {
            openExchanges(target).forEach(exchange -> exchange.onTargetUnresponsive(target));
        }
    }

    /**
     * Handles a report that a target has restarted: no more requests are sent to it, and those that
     * it hasn't started to answer have failed.
     */
    public void onTargetRestarted(String target) {
        mCrashDetector.onTargetDown(target);
        removeTarget(target);
        openExchanges(target)
                .forEach(
                        exchange -> exchange.onTargetRestarted(target, "the target has restarted"));
    }

    private void removeTarget(String target) {
        mUnreported.remove(target);
        mTargetSelector.onRemoved(target);
        mPool.removeTarget(target);
    }

    private List<Exchange> openExchanges(String target) {
        return new ArrayList<>(mExchangesByTarget.getOrDefault(target, Set.of()));
    }

    /** Applies a report on a target. */
    public void onReport(TargetReport report) {
        mUnreported.remove(report.key());
        mRollouts.onReport(report);
        mTargetSelector.onReport(report);
    }

    /** Applies a limit from a target's answer, and publishes it if it has changed. */
    void onLimitInAnswer(AdvertisedLimit limit) {
        if (applyLimit(limit, SOURCE_ANSWER)) {
            mLimitConsumer.accept(limit);
        }
    }

    /**
     * Applies what a target states about itself in an answer to a request of this instance, or to
     * one that it has relayed.
     */
    public void onNotice(String target, TargetNotice notice) {
        if (mTargetSelector.onNotice(target, notice, now())) {
            mMetrics.onLeavingStated();
            mLog.write(Event.TARGET_LEAVING, "target", target);
        }
        notice.maxRefusals().ifPresent(count -> onBrittle(target, count));
        notice.restMillis()
                .ifPresent(
                        millis -> {
                            mMetrics.onRestRequested();
                            mLog.write(Event.TARGET_RESTS, "target", target, "ms", millis);
                        });
    }

    private void onBrittle(String target, int maxRefusals) {
        if (mTargetSelector.onBrittle(target, maxRefusals, now())) {
            mMetrics.onBrittle();
            mLog.write(Event.TARGET_BRITTLE, "target", target, "max_refusals", maxRefusals);
        }
    }

    /** Counts a request with a body of some size that is sent to a target. */
    void onAttempt(String target, int bodyBytes) {
        mMetrics.onAttempt();
        mTargetSelector
                .location(target)
                .ifPresent(location -> mMetrics.onSent(location.distance(), bodyBytes));
    }

    /** Applies the head of an answer that this instance relays for another one. */
    public void onRelayedHead(String target, HttpResponse head) {
        mTargetSelector.onDataReceived(target, now());
        onNotice(target, mDialect.targets().read(head).notice());
    }

    /** Applies a limit that another entry read from an answer and a control process relayed. */
    public void onLimitFromControl(AdvertisedLimit limit, String control) {
        applyLimit(limit, control);
    }

    private boolean applyLimit(AdvertisedLimit limit, String source) {
        boolean changed = mTargetSelector.onLimit(limit, now());
        if (changed) {
            mLog.write(
                    Event.TARGET_LIMITED,
                    "target",
                    limit.target(),
                    "per_second",
                    limit.isSet() ? limit.perSecond() : "none",
                    "by",
                    source);
        }
        return changed;
    }

    /**
     * Sets the consumer of limits that were read from answers here and differ from the previous
     * ones; replaces the previous consumer.
     */
    public void setLimitConsumer(Consumer<AdvertisedLimit> consumer) {
        mLimitConsumer = consumer;
    }

    /** Starts to probe paths to targets; call it on the traffic thread. */
    public void startPathProbes() {
        mPathProber.start();
    }

    /** Sets the consumer of this instance's paths to targets; replaces the previous one. */
    public void setPathStatusConsumer(Consumer<PathStatus> consumer) {
        mPathProber.setStatusConsumer(consumer);
    }

    /** Applies a control process's offer of entries that relay requests, the preferred first. */
    public void onRelaysOffered(String control, List<String> addresses) {
        mRelays.onOffer(control, addresses);
        mTargetSelector.onRelayAvailable(mRelays.isAvailable());
    }

    /** Returns the way to targets through other entries. */
    public RelayClient relays() {
        return mRelays;
    }

    /**
     * Sends a request to a target, through another entry if there is no path or permit here.
     *
     * @param choice the target
     * @param request the request; released when it is no longer needed
     * @param of the caller's request
     * @param listener receives the outcome
     */
    OpenAttempt send(
            Choice choice, FullHttpRequest request, ForwardRequest of, AttemptListener listener) {
        String target = choice.target();
        String requestId = of.id();
        // Only one version may serve a stream, so it must be known which one will.
        boolean checksIncarnation = of.route().resumable();
        boolean borrows = choice.borrowsPermit();
        if (borrows || mTargetSelector.paths().isLost(target) && mRelays.isAvailable()) {
            mMetrics.onSentToRelay();
            RelayClient.setChecksIncarnation(request, checksIncarnation);
            return mRelays.send(target, borrows, request, requestId, listener);
        }
        return MonitoredAttempt.send(
                mTargetSelector.paths(),
                mClock,
                target,
                listener,
                monitored ->
                        checksIncarnation
                                ? mPool.sendToIncarnation(
                                        target, choice.address(), request, requestId, monitored)
                                : mPool.send(
                                        target, choice.address(), request, requestId, monitored));
    }

    /** Sets what decides on quotas; replaces the previous one. */
    public void setQuotaGate(QuotaGate gate) {
        mQuotaGate = gate;
    }

    QuotaGate quotaGate() {
        return mQuotaGate;
    }

    /** Records that a target is about to load weights, or has finished doing so. */
    public void onLoading(String target, boolean loading) {
        mTargetSelector.onLoading(target, loading, now());
        if (loading) {
            checkLoadingDelay(target);
        }
    }

    /**
     * Moves streams that delay a target's loading of weights to other targets, but not during a
     * shutdown of this instance, which has to complete them.
     */
    private void checkLoadingDelay(String target) {
        boolean nothingOpen = !mExchangesByTarget.containsKey(target);
        if (nothingOpen || isDraining() || !mTargetSelector.isLoading(target, now())) {
            return;
        }
        if (mTargetSelector.shouldMoveStreams(target, now())) {
            moveStreams(target, "the target waits to load weights");
        }
        mLoop.schedule(
                () -> checkLoadingDelay(target), LOADING_DELAY_CHECK_MILLIS, TimeUnit.MILLISECONDS);
    }

    /** Moves the streams of a target that would better continue elsewhere, if they may move. */
    void moveStreams(String target, String reason) {
        openExchanges(target).forEach(exchange -> exchange.onMoveWanted(target, reason));
    }

    private void checkUnreported(String target) {
        if (mUnreported.contains(target)) {
            onTargetRemoved(target, true);
        }
    }

    /**
     * Starts to shut down: connections are closed after their answers, and requests that aren't
     * expected to complete in time are refused.
     *
     * @param startedAt when the shutdown was requested, in milliseconds of {@link #now}
     * @param endsAt when the last answer has to be written, in milliseconds of {@link #now}
     */
    public void drain(long startedAt, long endsAt) {
        mDrainStartedAt = OptionalLong.of(startedAt);
        mShutdownAdmission.onShutdown(endsAt);
        checkShutdownDeadline(endsAt);
    }

    /** Moves streams that would outlast the shutdown to targets where they may complete in time. */
    private void checkShutdownDeadline(long endsAt) {
        if (now() >= endsAt) {
            return;
        }
        Set<Exchange> all = new HashSet<>();
        mExchangesByTarget.values().forEach(all::addAll);
        all.forEach(Exchange::onShuttingDown);
        mLoop.schedule(
                () -> checkShutdownDeadline(endsAt), SHUTDOWN_CHECK_MILLIS, TimeUnit.MILLISECONDS);
    }

    /** Returns the routes of the current configuration, or null if none is known. */
    public RouteTable routes() {
        return mRoutes;
    }

    /** Returns the limits on callers' requests. */
    public Limits limits() {
        return mRoutes == null ? Limits.defaults() : mRoutes.manifest().limits();
    }

    /** Returns whether the instance shuts down. */
    public boolean isDraining() {
        return mShutdownAdmission.isShuttingDown();
    }

    /** Returns the milliseconds since the start of the shutdown; empty if there is none. */
    OptionalLong drainMillis() {
        return mDrainStartedAt.isEmpty()
                ? OptionalLong.empty()
                : OptionalLong.of(now() - mDrainStartedAt.getAsLong());
    }

    /** Returns the version of the current configuration, -1 if none is known. */
    long configurationVersion() {
        return mRoutes == null ? NO_VERSION : mRoutes.manifest().version();
    }

    /**
     * Records that a control process has confirmed the current configuration.
     *
     * @param requestedAt when the confirmation was requested, in milliseconds of the leases' clock
     * @param control the address of the control process
     */
    public void onConfigurationConfirmed(long requestedAt, String control) {
        mKeyLease.onConfirmed(requestedAt);
        mTargetSelector.versions().onConfirmed(requestedAt);
        mConfirmedBy = control;
    }

    /** Returns which configuration is in force here, and when and by whom it was confirmed. */
    ConfigurationStatus configurationStatus() {
        long age = mKeyLease.wasGranted() ? confirmationAgeMillis() : NO_VERSION;
        return new ConfigurationStatus(configurationVersion(), mLogIndex, age, mConfirmedBy);
    }

    /**
     * Returns whether the configuration was confirmed within the time in which an accepted one must
     * be in force, so that no newer one must be in force yet. Paths and keys that it doesn't
     * contain are denied only then.
     */
    public boolean isConfigurationCurrent() {
        return mRoutes != null && confirmationAgeMillis() < mMaxApplyMillis;
    }

    /** Returns whether the configuration was confirmed within the duration of the key lease. */
    public boolean isConfigurationConfirmed() {
        return mRoutes != null && mKeyLease.isValid(mLeaseClock.getAsLong());
    }

    /** Returns whether the caller's key allows to send a request now. */
    boolean mayUseKey(ForwardRequest request) {
        boolean needsKey = !request.route().allowsAnonymous() && mRoutes.requiresKeys();
        return !needsKey || isConfigurationConfirmed();
    }

    /** Returns the current time in monotonic milliseconds. */
    public long now() {
        return mClock.getAsLong();
    }

    /** Returns the traffic thread. */
    public EventLoop loop() {
        return mLoop;
    }

    /** Returns the targets' states and the selection among them. */
    public TargetSelector targetSelector() {
        return mTargetSelector;
    }

    /** Returns the rollouts and what this instance observes of them. */
    public EntryRollouts rollouts() {
        return mRollouts;
    }

    /** Returns the software versions that began the streams of this instance. */
    public EntryStreams streams() {
        return mStreams;
    }

    /** Returns the pool of connections to targets. */
    public TargetConnectionPool pool() {
        return mPool;
    }

    /**
     * Handles a confirmation that this instance is counted among those that share the retries.
     *
     * @param instances their number, 0 if it is unknown
     * @param requestedAt when the confirmation was requested, in milliseconds of the leases' clock
     * @param control the address of the control process
     */
    public void onCounted(int instances, long requestedAt, String control) {
        long ageMillis = mLeaseClock.getAsLong() - requestedAt;
        mRetryShare.onCounted(instances, now() - ageMillis, now());
        int sharers = retrySharers();
        if (sharers != mLoggedRetrySharers) {
            mLoggedRetrySharers = sharers;
            mLog.write(Event.RETRY_SHARE, "sharers", sharers, "by", control);
        }
    }

    /** Returns the number of instances that share the retries; 0 if this one has no share. */
    public int retrySharers() {
        return mRetryShare.sharers(now());
    }

    /** Returns the budget of retries. */
    public ServiceRetryBudget retryBudget() {
        return mRetryBudget;
    }

    /** Returns the forwarding decisions for a request. */
    Forwarding forwarding(ForwardRequest request) {
        if (mTargetSelector.versions().isRestricted(request.service())
                || request.route().resumable()) {
            // The machine may have been suspended since the last confirmation.
            mTargetSelector.versions().onSuspended(mLeaseClock.getAsLong() - now());
        }
        return Forwarding.of(
                request, mTargetSelector, mRetryBudget, mShutdownAdmission, suspects());
    }

    /** Returns which requests may crash targets. */
    public SuspectRequests suspects() {
        return mCrashDetector.suspects();
    }

    /** Sets the listener for crashes; replaces the previous one. */
    public void setCrashListener(CrashListener listener) {
        mCrashDetector.setListener(listener);
    }

    CrashDetector crashDetector() {
        return mCrashDetector;
    }

    /** Returns the time since the configuration was confirmed, see {@link KeyLease#ageMillis}. */
    public long confirmationAgeMillis() {
        return mKeyLease.ageMillis(mLeaseClock.getAsLong());
    }

    /** Returns the lease within which keys may be accepted. */
    public KeyLease keyLease() {
        return mKeyLease;
    }

    /** Returns the bound on the bytes of incomplete answers. */
    AnswerMemory answerMemory() {
        return mAnswerMemory;
    }

    /** Returns which requests are accepted during a shutdown. */
    ShutdownAdmission shutdownAdmission() {
        return mShutdownAdmission;
    }

    Dialect dialect() {
        return mDialect;
    }

    EventLog log() {
        return mLog;
    }

    GatewayMetrics metrics() {
        return mMetrics;
    }

    void onAttemptOpened(String target, Exchange exchange) {
        mExchangesByTarget.computeIfAbsent(target, id -> new HashSet<>()).add(exchange);
    }

    void onAttemptClosed(String target, Exchange exchange) {
        Set<Exchange> open = mExchangesByTarget.get(target);
        if (open != null) {
            open.remove(exchange);
            if (open.isEmpty()) {
                mExchangesByTarget.remove(target);
            }
        }
    }
}
