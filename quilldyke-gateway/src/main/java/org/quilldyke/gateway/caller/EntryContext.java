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
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import org.quilldyke.caller.ForwardRequest;
import org.quilldyke.caller.Forwarding;
import org.quilldyke.caller.KeyLease;
import org.quilldyke.caller.ServiceRetryBudget;
import org.quilldyke.caller.ShutdownAdmission;
import org.quilldyke.caller.SuspectRequests;
import org.quilldyke.daemon.log.Event;
import org.quilldyke.daemon.log.EventLog;
import org.quilldyke.engine.TargetReport;
import org.quilldyke.gateway.dialect.Dialect;
import org.quilldyke.gateway.engine.TargetConnectionPool;
import org.quilldyke.gateway.platform.GatewayMetrics;
import org.quilldyke.manifest.Limits;
import org.quilldyke.manifest.RouteTable;
import org.quilldyke.routing.AdvertisedLimit;
import org.quilldyke.routing.TargetSelector;

/** What all requests at an entry instance share. Lives on the traffic thread. */
public final class EntryContext {
    /** How often it is looked whether a target whose reports have ended still answers. */
    private static final long LIVENESS_CHECK_MILLIS = 500;

    /** How often it is looked whether a few streams keep a target from loading weights. */
    private static final long LOADING_DELAY_CHECK_MILLIS = 100;

    /** How often it is looked, during a shutdown, which streams won't end in time. */
    private static final long SHUTDOWN_CHECK_MILLIS = 100;

    private static final long NO_VERSION = -1;

    /** Stands for this entry where a control process may have told something. */
    private static final String SOURCE_ANSWER = "answer";

    private final EventLoop mLoop;
    private final LongSupplier mClock;
    private final LongSupplier mLeaseClock;
    private final Dialect mDialect;
    private final TargetSelector mTargetStates;
    private final TargetConnectionPool mPool;
    private final ServiceRetryBudget mRetryBudget;
    private final ShutdownAdmission mShutdownAdmission = ShutdownAdmission.create();
    private final KeyLease mKeyLease;
    private final long mMaxApplyMillis;
    private final EventLog mLog;
    private final GatewayMetrics mMetrics;
    private final Map<String, Set<Exchange>> mExchangesByTarget = new HashMap<>();
    private final Set<String> mUnreported = new HashSet<>();
    private final CrashDetector mCrashDetector = new CrashDetector(this);
    private Consumer<AdvertisedLimit> mLimitConsumer = limit -> {};
    private RouteTable mRoutes;
    private long mLogIndex = NO_VERSION;
    private String mConfirmedBy = "";
    private OptionalLong mDrainStartedAt = OptionalLong.empty();

    private EntryContext(Dependencies dependencies) {
        mLoop = dependencies.loop();
        mClock = dependencies.clock();
        mLeaseClock = dependencies.leaseClock();
        mDialect = dependencies.dialect();
        mTargetStates = dependencies.targetStates();
        mRetryBudget = dependencies.retryBudget();
        mKeyLease = dependencies.keyLease();
        mMaxApplyMillis = dependencies.maxApplyMillis();
        mLog = dependencies.log();
        mPool =
                TargetConnectionPool.create(
                        mLoop,
                        mDialect.targets(),
                        mClock,
                        new TargetConnectionPool.Listener() {
                            @Override
                            public void onInternalError(Throwable fault) {
                                mLog.fault(fault, "while a target is read");
                            }

                            @Override
                            public void onFreeConnections(String target, int free) {
                                mTargetStates.onFreeConnections(target, free);
                            }

                            @Override
                            public void onConnectionRefused(String target) {
                                mCrashDetector.onTargetDown(target);
                            }
                        });
        mMetrics = dependencies.metrics();
    }

    /** Returns an entry that knows no configuration yet. */
    public static EntryContext of(Dependencies dependencies) {
        return new EntryContext(dependencies);
    }

    /**
     * Takes a configuration.
     *
     * @param routes what it allows
     * @param logIndex where in the replicated log it was accepted
     */
    public void onRoutes(RouteTable routes, long logIndex) {
        mRoutes = routes;
        mLogIndex = logIndex;
        mTargetStates.onServices(routes.manifest().services());
    }

    /** Notes that a target is gone or was silent for too long: what is open there is lost. */
    public void onTargetRemoved(String target, boolean unannounced) {
        if (unannounced && mTargetStates.isResponding(target, now())) {
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
            openExchanges(target).forEach(exchange -> exchange.onTargetSilent(target));
        }
    }

    /**
     * Notes that a target is said to have started again: it is asked for nothing more, and what it
     * hasn't begun to answer is lost.
     */
    public void onTargetRestarted(String target) {
        mCrashDetector.onTargetDown(target);
        removeTarget(target);
        openExchanges(target)
                .forEach(
                        exchange ->
                                exchange.onTargetRestarted(target, "the target has started again"));
    }

    private void removeTarget(String target) {
        mUnreported.remove(target);
        mTargetStates.onRemoved(target);
        mPool.removeTarget(target);
    }

    private List<Exchange> openExchanges(String target) {
        return new ArrayList<>(mExchangesByTarget.getOrDefault(target, Set.of()));
    }

    /** Takes what a target reports. */
    public void onReport(TargetReport report) {
        mUnreported.remove(report.id());
        mTargetStates.onReport(report);
    }

    /** Takes what a target's answer says of its limit, and tells others if that is new. */
    void onLimitInAnswer(AdvertisedLimit limit) {
        if (applyLimit(limit, SOURCE_ANSWER)) {
            mLimitConsumer.accept(limit);
        }
    }

    /** Takes what a target said of its limit to another entry, as a control process tells. */
    public void onLimitFromControl(AdvertisedLimit limit, String control) {
        applyLimit(limit, control);
    }

    private boolean applyLimit(AdvertisedLimit limit, String source) {
        boolean changed = mTargetStates.onLimit(limit, now());
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

    /** Has a consumer take limits that targets name anew here; the one before takes no more. */
    public void setLimitConsumer(Consumer<AdvertisedLimit> consumer) {
        mLimitConsumer = consumer;
    }

    /** Notes that a target is about to load weights, or has done so. */
    public void onLoading(String target, boolean loading) {
        mTargetStates.onLoading(target, loading, now());
        if (loading) {
            checkLoadingDelay(target);
        }
    }

    /**
     * Streams that hold up a target that is to load weights go on elsewhere; but not from an
     * instance that shuts down, which has to bring them to their end.
     */
    private void checkLoadingDelay(String target) {
        boolean nothingOpen = !mExchangesByTarget.containsKey(target);
        if (nothingOpen || isDraining() || !mTargetStates.isLoading(target, now())) {
            return;
        }
        if (mTargetStates.shouldMoveStreams(target, now())) {
            openExchanges(target).forEach(exchange -> exchange.onTargetWaitsToLoad(target));
        }
        mLoop.schedule(
                () -> checkLoadingDelay(target), LOADING_DELAY_CHECK_MILLIS, TimeUnit.MILLISECONDS);
    }

    private void checkUnreported(String target) {
        if (mUnreported.contains(target)) {
            onTargetRemoved(target, true);
        }
    }

    /**
     * Takes no more connections for long, and no request that would not end in time: answers end
     * their connections.
     *
     * @param startedAt when the instance was told to shut down
     * @param endsAt when the last answer has to be out
     */
    public void drain(long startedAt, long endsAt) {
        mDrainStartedAt = OptionalLong.of(startedAt);
        mShutdownAdmission.onShutdown(endsAt);
        checkShutdownDeadline(endsAt);
    }

    /** Streams that would outlast the instance go on where they may end in time. */
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

    /** Returns the present configuration, or null if none is known. */
    public RouteTable routes() {
        return mRoutes;
    }

    /** Returns what callers may send. */
    public Limits limits() {
        return mRoutes == null ? Limits.defaults() : mRoutes.manifest().limits();
    }

    /** Returns whether the instance shuts down. */
    public boolean isDraining() {
        return mShutdownAdmission.isShuttingDown();
    }

    /** Returns for how long the instance has shut down, in milliseconds; empty if it doesn't. */
    OptionalLong drainMillis() {
        return mDrainStartedAt.isEmpty()
                ? OptionalLong.empty()
                : OptionalLong.of(now() - mDrainStartedAt.getAsLong());
    }

    /** Returns the version of the present configuration, -1 if none is known. */
    long configurationVersion() {
        return mRoutes == null ? NO_VERSION : mRoutes.manifest().version();
    }

    /**
     * Notes that a control process has confirmed the present configuration.
     *
     * @param askedAt when it was asked, by the leases' clock
     * @param control its address
     */
    public void onConfigurationConfirmed(long askedAt, String control) {
        mKeyLease.onConfirmed(askedAt);
        mConfirmedBy = control;
    }

    /** Returns which configuration is in force here, and how sure that is. */
    ConfigurationStatus configurationStatus() {
        long age = mKeyLease.wasGranted() ? confirmationAgeMillis() : NO_VERSION;
        return new ConfigurationStatus(configurationVersion(), mLogIndex, age, mConfirmedBy);
    }

    /**
     * Returns whether the configuration is the newest, as far as can be known: only then a path or
     * a key that it doesn't hold is denied.
     */
    public boolean isConfigurationCurrent() {
        return mRoutes != null && confirmationAgeMillis() < mMaxApplyMillis;
    }

    /** Returns whether the configuration was confirmed a short while ago. */
    public boolean isConfigurationConfirmed() {
        return mRoutes != null && mKeyLease.isValid(mLeaseClock.getAsLong());
    }

    /** Returns the present time in monotonic milliseconds. */
    public long now() {
        return mClock.getAsLong();
    }

    /** Returns the traffic thread. */
    public EventLoop loop() {
        return mLoop;
    }

    /** Returns the targets. */
    public TargetSelector targetStates() {
        return mTargetStates;
    }

    /** Returns the connections to targets. */
    public TargetConnectionPool pool() {
        return mPool;
    }

    /** Returns what bounds second attempts. */
    public ServiceRetryBudget retryBudget() {
        return mRetryBudget;
    }

    /** Returns the decisions for a request. */
    Forwarding forwarding(ForwardRequest request) {
        return Forwarding.of(request, mTargetStates, mRetryBudget, mShutdownAdmission, suspects());
    }

    /** Returns which requests may crash targets. */
    public SuspectRequests suspects() {
        return mCrashDetector.suspects();
    }

    /** Has a listener hear of crashes; the one before hears no more. */
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

    /** Returns for how long keys may be taken for good. */
    public KeyLease keyLease() {
        return mKeyLease;
    }

    /** Returns which requests are taken while the instance shuts down. */
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

    /**
     * What an entry is made of.
     *
     * @param loop the traffic thread
     * @param clock monotonic milliseconds
     * @param leaseClock the time by which leases end, in milliseconds
     * @param dialect how callers and targets speak
     * @param targetStates the targets
     * @param retryBudget bounds second attempts
     * @param keyLease for how long keys may be taken for good
     * @param maxApplyMillis within what time an accepted configuration must be in force
     * @param log where events go
     * @param metrics what is counted
     */
    public record Dependencies(
            EventLoop loop,
            LongSupplier clock,
            LongSupplier leaseClock,
            Dialect dialect,
            TargetSelector targetStates,
            ServiceRetryBudget retryBudget,
            KeyLease keyLease,
            long maxApplyMillis,
            EventLog log,
            GatewayMetrics metrics) {}
}
