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
import org.quilldyke.gateway.engine.TargetPool;
import org.quilldyke.gateway.platform.GatewayMetrics;
import org.quilldyke.manifest.Limits;
import org.quilldyke.manifest.RouteTable;
import org.quilldyke.routing.AdvertisedLimit;
import org.quilldyke.routing.TargetSelector;

/** What all requests at an entry instance share. Lives on the traffic thread. */
public final class Entry {
    /** How often it is looked whether a target whose reports have ended still answers. */
    private static final long HEARD_CHECK_MILLIS = 500;

    /** How often it is looked whether a few streams keep a target from loading weights. */
    private static final long HELD_UP_CHECK_MILLIS = 100;

    /** How often it is looked, during a shutdown, which streams won't end in time. */
    private static final long ENDING_CHECK_MILLIS = 100;

    private static final long NO_VERSION = -1;

    /** Stands for this entry where a control process may have told something. */
    private static final String OWN = "answer";

    private final EventLoop mLoop;
    private final LongSupplier mClock;
    private final LongSupplier mLeaseClock;
    private final Dialect mDialect;
    private final TargetSelector mBook;
    private final TargetPool mPool;
    private final ServiceRetryBudget mRetries;
    private final ShutdownAdmission mShutdown = ShutdownAdmission.create();
    private final KeyLease mLease;
    private final long mApplyMillis;
    private final EventLog mLog;
    private final GatewayMetrics mMetrics;
    private final Map<String, Set<Exchange>> mExchanges = new HashMap<>();
    private final Set<String> mLapsing = new HashSet<>();
    private final CrashWatch mCrashes = new CrashWatch(this);
    private Consumer<AdvertisedLimit> mOnLimit = limit -> {};
    private RouteTable mRoutes;
    private long mIndex = NO_VERSION;
    private String mConfirmedBy = "";
    private OptionalLong mDrainBegunAt = OptionalLong.empty();

    private Entry(Parts parts) {
        mLoop = parts.loop();
        mClock = parts.clock();
        mLeaseClock = parts.leaseClock();
        mDialect = parts.dialect();
        mBook = parts.book();
        mRetries = parts.retries();
        mLease = parts.lease();
        mApplyMillis = parts.applyMillis();
        mLog = parts.log();
        mPool =
                TargetPool.create(
                        mLoop,
                        mDialect.targets(),
                        mClock,
                        new TargetPool.Listener() {
                            @Override
                            public void onFault(Throwable fault) {
                                mLog.fault(fault, "while a target is read");
                            }

                            @Override
                            public void onFree(String target, int free) {
                                mBook.onFreeConnections(target, free);
                            }

                            @Override
                            public void onRefused(String target) {
                                mCrashes.onTargetEnded(target);
                            }
                        });
        mMetrics = parts.metrics();
    }

    /** Returns an entry that knows no configuration yet. */
    public static Entry of(Parts parts) {
        return new Entry(parts);
    }

    /**
     * Takes a configuration.
     *
     * @param routes what it allows
     * @param index where in the replicated log it was accepted
     */
    public void onRoutes(RouteTable routes, long index) {
        mRoutes = routes;
        mIndex = index;
        mBook.onServices(routes.manifest().services());
    }

    /** Notes that a target is gone or was silent for too long: what is open there is lost. */
    public void onTargetLost(String target, boolean silent) {
        if (silent && mBook.isResponding(target, now())) {
            // Its reports don't arrive, but its answers do.
            mLapsing.add(target);
            mLoop.schedule(() -> checkLapsing(target), HEARD_CHECK_MILLIS, TimeUnit.MILLISECONDS);
            return;
        }
        if (silent) {
            mCrashes.onTargetEnded(target);
        } else {
            mCrashes.onTargetLeft(target);
        }
        forget(target);
        if (silent) {
            open(target).forEach(exchange -> exchange.onTargetSilent(target));
        }
    }

    /**
     * Notes that a target is said to have started again: it is asked for nothing more, and what it
     * hasn't begun to answer is lost.
     */
    public void onTargetEnded(String target) {
        mCrashes.onTargetEnded(target);
        forget(target);
        open(target)
                .forEach(
                        exchange -> exchange.onTargetEnded(target, "the target has started again"));
    }

    private void forget(String target) {
        mLapsing.remove(target);
        mBook.onRemoved(target);
        mPool.forget(target);
    }

    private List<Exchange> open(String target) {
        return new ArrayList<>(mExchanges.getOrDefault(target, Set.of()));
    }

    /** Takes what a target reports. */
    public void onReport(TargetReport report) {
        mLapsing.remove(report.id());
        mBook.onReport(report);
    }

    /** Takes what a target's answer says of its limit, and tells others if that is new. */
    void onLimitHeard(AdvertisedLimit limit) {
        if (takeLimit(limit, OWN)) {
            mOnLimit.accept(limit);
        }
    }

    /** Takes what a target said of its limit to another entry, as a control process tells. */
    public void onLimitTold(AdvertisedLimit limit, String control) {
        takeLimit(limit, control);
    }

    private boolean takeLimit(AdvertisedLimit limit, String by) {
        boolean news = mBook.onLimit(limit, now());
        if (news) {
            mLog.write(
                    Event.TARGET_LIMITED,
                    "target",
                    limit.target(),
                    "per_second",
                    limit.isSet() ? limit.perSecond() : "none",
                    "by",
                    by);
        }
        return news;
    }

    /** Has a consumer take limits that targets name anew here; the one before takes no more. */
    public void tellLimits(Consumer<AdvertisedLimit> onLimit) {
        mOnLimit = onLimit;
    }

    /** Notes that a target is about to load weights, or has done so. */
    public void onLoading(String target, boolean loading) {
        mBook.onLoading(target, loading, now());
        if (loading) {
            checkHeldUp(target);
        }
    }

    /**
     * Streams that hold up a target that is to load weights go on elsewhere; but not from an
     * instance that shuts down, which has to bring them to their end.
     */
    private void checkHeldUp(String target) {
        boolean nothingOpen = !mExchanges.containsKey(target);
        if (nothingOpen || isDraining() || !mBook.isLoading(target, now())) {
            return;
        }
        if (mBook.shouldMoveStreams(target, now())) {
            open(target).forEach(exchange -> exchange.onTargetWaits(target));
        }
        mLoop.schedule(() -> checkHeldUp(target), HELD_UP_CHECK_MILLIS, TimeUnit.MILLISECONDS);
    }

    private void checkLapsing(String target) {
        if (mLapsing.contains(target)) {
            onTargetLost(target, true);
        }
    }

    /**
     * Takes no more connections for long, and no request that would not end in time: answers end
     * their connections.
     *
     * @param begunAt when the instance was told to shut down
     * @param endsAt when the last answer has to be out
     */
    public void drain(long begunAt, long endsAt) {
        mDrainBegunAt = OptionalLong.of(begunAt);
        mShutdown.onShutdown(endsAt);
        checkEnding(endsAt);
    }

    /** Streams that would outlast the instance go on where they may end in time. */
    private void checkEnding(long endsAt) {
        if (now() >= endsAt) {
            return;
        }
        Set<Exchange> all = new HashSet<>();
        mExchanges.values().forEach(all::addAll);
        all.forEach(Exchange::onInstanceEnding);
        mLoop.schedule(() -> checkEnding(endsAt), ENDING_CHECK_MILLIS, TimeUnit.MILLISECONDS);
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
        return mShutdown.isShuttingDown();
    }

    /** Returns for how long the instance has shut down, in milliseconds; empty if it doesn't. */
    OptionalLong drainMillis() {
        return mDrainBegunAt.isEmpty()
                ? OptionalLong.empty()
                : OptionalLong.of(now() - mDrainBegunAt.getAsLong());
    }

    /** Returns the version of the present configuration, -1 if none is known. */
    long version() {
        return mRoutes == null ? NO_VERSION : mRoutes.manifest().version();
    }

    /**
     * Notes that a control process has confirmed the present configuration.
     *
     * @param askedAt when it was asked, by the leases' clock
     * @param control its address
     */
    public void onConfirmed(long askedAt, String control) {
        mLease.onConfirmed(askedAt);
        mConfirmedBy = control;
    }

    /** Returns which configuration is in force here, and how sure that is. */
    ConfigurationStanding standing() {
        long age = mLease.wasGranted() ? keyAge() : NO_VERSION;
        return new ConfigurationStanding(version(), mIndex, age, mConfirmedBy);
    }

    /**
     * Returns whether the configuration is the newest, as far as can be known: only then a path or
     * a key that it doesn't hold is denied.
     */
    public boolean mayDeny() {
        return mRoutes != null && keyAge() < mApplyMillis;
    }

    /** Returns whether the configuration was confirmed a short while ago. */
    public boolean isConfirmed() {
        return mRoutes != null && mLease.isValid(mLeaseClock.getAsLong());
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
    public TargetSelector book() {
        return mBook;
    }

    /** Returns the connections to targets. */
    public TargetPool pool() {
        return mPool;
    }

    /** Returns what bounds second attempts. */
    public ServiceRetryBudget retries() {
        return mRetries;
    }

    /** Returns the decisions for a request. */
    Forwarding forwarding(ForwardRequest request) {
        return Forwarding.of(request, mBook, mRetries, mShutdown, suspects());
    }

    /** Returns which requests may crash targets. */
    public SuspectRequests suspects() {
        return mCrashes.suspects();
    }

    /** Has a listener hear of crashes; the one before hears no more. */
    public void listenToCrashes(CrashListener listener) {
        mCrashes.listen(listener);
    }

    CrashWatch crashes() {
        return mCrashes;
    }

    /** Returns the time since the configuration was confirmed, see {@link KeyLease#ageMillis}. */
    public long keyAge() {
        return mLease.ageMillis(mLeaseClock.getAsLong());
    }

    /** Returns for how long keys may be taken for good. */
    public KeyLease lease() {
        return mLease;
    }

    /** Returns which requests are taken while the instance shuts down. */
    ShutdownAdmission shutdown() {
        return mShutdown;
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

    void onOpened(String target, Exchange exchange) {
        mExchanges.computeIfAbsent(target, id -> new HashSet<>()).add(exchange);
    }

    void onClosed(String target, Exchange exchange) {
        Set<Exchange> open = mExchanges.get(target);
        if (open != null) {
            open.remove(exchange);
            if (open.isEmpty()) {
                mExchanges.remove(target);
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
     * @param book the targets
     * @param retries bounds second attempts
     * @param lease for how long keys may be taken for good
     * @param applyMillis within what time an accepted configuration must be in force
     * @param log where events go
     * @param metrics what is counted
     */
    public record Parts(
            EventLoop loop,
            LongSupplier clock,
            LongSupplier leaseClock,
            Dialect dialect,
            TargetSelector book,
            ServiceRetryBudget retries,
            KeyLease lease,
            long applyMillis,
            EventLog log,
            GatewayMetrics metrics) {}
}
