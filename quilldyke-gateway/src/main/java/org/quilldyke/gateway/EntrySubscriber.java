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

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.function.LongSupplier;
import org.quilldyke.QuilldykeException;
import org.quilldyke.daemon.log.Event;
import org.quilldyke.daemon.log.EventLog;
import org.quilldyke.engine.TargetRegistry;
import org.quilldyke.engine.TargetReport;
import org.quilldyke.engine.VersionHistory;
import org.quilldyke.gateway.caller.EntryContext;
import org.quilldyke.gateway.dialect.ControlDialect;
import org.quilldyke.gateway.engine.RefusalLog;
import org.quilldyke.gateway.instance.Compression;
import org.quilldyke.gateway.instance.ControlLinks;
import org.quilldyke.gateway.instance.LimitFrames;
import org.quilldyke.gateway.instance.RolloutFrames;
import org.quilldyke.gateway.instance.TargetFrames;
import org.quilldyke.gateway.instance.VersionFrames;
import org.quilldyke.gateway.instance.proto.Answer;
import org.quilldyke.gateway.instance.proto.Caches;
import org.quilldyke.gateway.instance.proto.CanaryFraction;
import org.quilldyke.gateway.instance.proto.Configuration;
import org.quilldyke.gateway.instance.proto.ControlFrame;
import org.quilldyke.gateway.instance.proto.Hello;
import org.quilldyke.gateway.instance.proto.Limits;
import org.quilldyke.gateway.instance.proto.Loading;
import org.quilldyke.gateway.instance.proto.ModelWeights;
import org.quilldyke.gateway.instance.proto.RolloutReport;
import org.quilldyke.gateway.instance.proto.ServiceRollout;
import org.quilldyke.gateway.instance.proto.Target;
import org.quilldyke.gateway.instance.proto.TargetLoad;
import org.quilldyke.gateway.instance.proto.Targets;
import org.quilldyke.gateway.settings.GatewaySettings;
import org.quilldyke.manifest.RouteTable;
import org.quilldyke.rollout.ServiceVersions;
import org.quilldyke.routing.AdvertisedLimit;
import org.quilldyke.routing.CacheUpdate;
import org.quilldyke.routing.InstanceRank;
import org.quilldyke.routing.TargetState;

/**
 * Handles the messages of control processes: discards outdated ones, and passes the changes to the
 * traffic thread.
 *
 * <p>Confined to the control thread, except for the loads, which the traffic thread records.
 */
final class EntrySubscriber implements ControlLinks.Subscriber {
    private static final long LOADS_MILLIS = 100;
    private static final long ROLLOUTS_MILLIS = 250;

    private final GatewaySettings mSettings;
    private final EntryContext mEntry;
    private final ControlDialect mDialect;
    private final LongSupplier mClock;
    private final EventLog mLog;
    private final RefusalLog mRefused;
    private final CrashTelling mCrashes;
    private final QuotaClient mQuotas;
    private final OriginClient mOrigins;
    private final TargetRegistry mRegistry = TargetRegistry.createFollower();
    private volatile List<TargetLoad> mLoads = List.of();

    /** The loads of other instances that were applied last; used on the traffic thread. */
    private List<TargetLoad> mOthersLoads = List.of();

    private volatile List<RolloutReport> mRolloutReports = List.of();
    private long mHeldIndex;

    /** The log index as of which the recorded software versions are known. */
    private long mVersionsIndex;

    EntrySubscriber(
            GatewaySettings settings,
            EntryContext entry,
            ControlDialect dialect,
            LongSupplier clock,
            EventLog log,
            RefusalLog refused,
            CrashTelling crashes,
            QuotaClient quotas,
            OriginClient origins) {
        mSettings = settings;
        mEntry = entry;
        mDialect = dialect;
        mClock = clock;
        mLog = log;
        mRefused = refused;
        mCrashes = crashes;
        mQuotas = quotas;
        mOrigins = origins;
    }

    /** Records the open requests at targets periodically; called on the traffic thread. */
    void recordLoads() {
        mEntry.loop()
                .schedule(
                        this::recordLoads,
                        LOADS_MILLIS,
                        java.util.concurrent.TimeUnit.MILLISECONDS);
        List<TargetLoad> loads = new ArrayList<>();
        for (TargetState target : mEntry.targetSelector().targets()) {
            if (target.ownRequests() > 0) {
                loads.add(
                        TargetLoad.newBuilder()
                                .setTarget(target.id())
                                .setRequests(target.ownRequests())
                                .setTokens(target.ownTokens())
                                .build());
            }
        }
        mLoads = loads;
    }

    /** Records the evidence of rollouts periodically; called on the traffic thread. */
    void recordRollouts() {
        mEntry.loop()
                .schedule(
                        this::recordRollouts,
                        ROLLOUTS_MILLIS,
                        java.util.concurrent.TimeUnit.MILLISECONDS);
        mRolloutReports = RolloutFrames.update(mRolloutReports, mEntry.rollouts().evidence());
    }

    @Override
    public List<RolloutReport> rolloutReports() {
        return mRolloutReports;
    }

    @Override
    public Hello hello() {
        long now = mClock.getAsLong();
        Targets.Builder known = Targets.newBuilder();
        for (TargetReport report : mRegistry.reports()) {
            if (!report.isRestored()) {
                known.addTargets(
                        TargetFrames.encode(report, now - mRegistry.lastSeenAt(report.key())));
            }
        }
        // A restarted control process may receive a late report of a target that has left.
        known.addAllTargets(TargetFrames.encodeLeaves(mRegistry, now));
        return Hello.newBuilder()
                .setEntry(mSettings.instance())
                .setRelayAddress(mSettings.relayAddress())
                .setFailureDomain(mSettings.failureDomain())
                .setHeldIndex(mHeldIndex)
                .setTargets(known)
                .setCrashes(mCrashes.known())
                .setStreamOrigins(mOrigins.published())
                .build();
    }

    @Override
    public List<TargetLoad> loads() {
        return mLoads;
    }

    @Override
    public void onAnswer(Answer answer, long askedAt, String control) {
        mEntry.loop()
                .execute(
                        () -> {
                            boolean before = mEntry.isConfigurationConfirmed();
                            mEntry.onConfigurationConfirmed(askedAt, control);
                            if (answer.getCounted()) {
                                mEntry.onCounted(answer.getCountedEntries(), askedAt, control);
                            }
                            mEntry.targetSelector().onInstanceRank(rank(answer), mEntry.now());
                            if (!before && mEntry.isConfigurationConfirmed()) {
                                mLog.write(
                                        Event.CONFIRMED,
                                        "age",
                                        mEntry.confirmationAgeMillis(),
                                        "control",
                                        control);
                            }
                        });
    }

    private static InstanceRank rank(Answer answer) {
        return answer.getPlace() == 0
                ? InstanceRank.UNKNOWN
                : new InstanceRank(answer.getPlace() - 1, answer.getEntries());
    }

    @Override
    public void onNews(ControlFrame frame, String control) {
        switch (frame.getKindCase()) {
            case CONFIGURATION -> onConfiguration(frame.getConfiguration());
            case TARGETS -> onTargets(frame.getTargets(), control);
            case LOADING -> onLoading(frame.getLoading());
            case CACHES -> onCaches(frame.getCaches());
            case CRASHES -> mCrashes.onNews(frame.getCrashes());
            case LIMITS -> onLimits(frame.getLimits(), control);
            case RELAYS -> {
                List<String> relays = List.copyOf(frame.getRelays().getAddressesList());
                mEntry.loop().execute(() -> mEntry.onRelaysOffered(control, relays));
            }
            case CANARY_FRACTIONS -> {
                List<CanaryFraction> told = frame.getCanaryFractions().getFractionsList();
                mEntry.loop().execute(() -> told.forEach(mEntry.rollouts()::onCanaryFraction));
            }
            case QUOTAS -> mQuotas.onVerdicts(frame.getQuotas());
            case ORIGIN_VERDICT -> mOrigins.onVerdict(frame.getOriginVerdict());
            case LOADS -> {
                List<TargetLoad> loads = frame.getLoads().getTargetsList();
                mEntry.loop().execute(() -> applyLoads(loads));
            }
            default -> {
                // A kind of frame that a newer version has added.
            }
        }
    }

    private void applyLoads(List<TargetLoad> loads) {
        for (TargetLoad load : mOthersLoads) {
            mEntry.targetSelector().onOtherInstancesLoad(load.getTarget(), 0, 0);
        }
        mOthersLoads = loads;
        for (TargetLoad load : loads) {
            mEntry.targetSelector()
                    .onOtherInstancesLoad(load.getTarget(), load.getRequests(), load.getTokens());
        }
    }

    private void onConfiguration(Configuration configuration) {
        long now = mClock.getAsLong();
        for (ModelWeights named : configuration.getWeightsList()) {
            long namedAt = now - named.getAgeMs();
            mEntry.loop()
                    .execute(
                            () ->
                                    mEntry.targetSelector()
                                            .onNamedWeights(
                                                    named.getModel(), named.getVersion(), namedAt));
        }
        for (ServiceRollout rollout : configuration.getRolloutsList()) {
            ServiceVersions versions = RolloutFrames.decode(rollout);
            mEntry.loop().execute(() -> mEntry.rollouts().onRollout(versions, rollout.getAgeMs()));
        }
        onVersionHistory(configuration);
        if (configuration.getIndex() <= mHeldIndex || configuration.getDocument().isEmpty()) {
            return;
        }
        try {
            byte[] document = Compression.expand(configuration.getDocument().toByteArray());
            RouteTable routes = RouteTable.of(mDialect.readManifest(document));
            mHeldIndex = configuration.getIndex();
            mEntry.loop().execute(() -> mEntry.onRoutes(routes, configuration.getIndex()));
            mLog.write(
                    Event.CONFIGURATION,
                    "version",
                    routes.manifest().version(),
                    "index",
                    mHeldIndex,
                    "routes",
                    routes.manifest().routes().size());
        } catch (QuilldykeException e) {
            mLog.write(Event.INVARIANT, "detail", e.getMessage());
        }
    }

    /** Applies the recorded versions unless another control process has sent newer ones. */
    private void onVersionHistory(Configuration configuration) {
        if (configuration.hasVersionHistory() && configuration.getIndex() >= mVersionsIndex) {
            mVersionsIndex = configuration.getIndex();
            VersionHistory history = VersionFrames.decode(configuration.getVersionHistory());
            mEntry.loop().execute(() -> mEntry.onVersionHistory(history));
        }
    }

    private void onTargets(Targets targets, String control) {
        long now = mClock.getAsLong();
        mRegistry.expireTombstones(now);
        for (Target target : targets.getTargetsList()) {
            String id = target.getId();
            switch (target.getStanding()) {
                case GONE -> {
                    if (mRegistry.onDeparture(TargetFrames.decodeDeparture(target, now))) {
                        mLog.write(Event.TARGET_CHANGED, "target", id, "gone", true, "by", control);
                        onLeft(id);
                    }
                    removeSuperseded();
                }
                case LAPSED -> {
                    if (mRegistry.onLapsed(id)) {
                        mLog.write(Event.TARGET_LAPSED, "target", id, "by", control);
                        mEntry.loop().execute(() -> mEntry.onTargetRemoved(id, true));
                    }
                }
                case SUSPENDED -> {
                    if (mRegistry.onSuspension(TargetFrames.decodeSuspension(target, now))) {
                        mLog.write(
                                Event.TARGET_CHANGED,
                                "target",
                                id,
                                "suspended",
                                true,
                                "by",
                                control);
                        onSuspended(mRegistry.latestKey(id));
                    }
                    removeSuperseded();
                }
                default -> onReport(target, now - target.getAgeMs(), control);
            }
        }
    }

    /** Removes a target unless it has reported itself since its leave notice. */
    private void onLeft(String id) {
        if (mRegistry.report(id).isEmpty()) {
            mEntry.loop().execute(() -> mEntry.onTargetRemoved(id, false));
        }
    }

    /** Suspends a target, also one that has lapsed and is kept because it still responds. */
    private void onSuspended(String id) {
        Optional<TargetReport> report = mRegistry.report(id);
        mEntry.loop()
                .execute(
                        () ->
                                report.ifPresentOrElse(
                                        mEntry::onReport, () -> mEntry.onTargetRemoved(id, false)));
    }

    private void onReport(Target target, long heardAt, String control) {
        try {
            onReport(TargetFrames.decode(target), heardAt, control);
        } catch (QuilldykeException e) {
            mRefused.onRefused(RefusalLog.Source.INSTANCE, target.getId(), e);
        }
    }

    private void onReport(TargetReport report, long heardAt, String control) {
        boolean news = mRegistry.onReport(report, heardAt);
        for (String id : mRegistry.takeDisplaced()) {
            mLog.write(Event.TARGET_CHANGED, "target", id, "displaced", true);
            // A late report may displace a live target, so it is kept while it responds.
            mEntry.loop().execute(() -> mEntry.onTargetRemoved(id, true));
        }
        if (news) {
            mLog.write(
                    Event.TARGET_CHANGED,
                    "target",
                    report.key(),
                    "address",
                    report.address(),
                    "leaving",
                    report.leaving(),
                    "weights",
                    report.weights(),
                    "sequence",
                    report.sequence(),
                    "age_ms",
                    mClock.getAsLong() - heardAt,
                    "by",
                    control);
            TargetReport taken = mRegistry.report(report.key()).orElse(report);
            mEntry.loop().execute(() -> mEntry.onReport(taken));
        }
        if (mRegistry.report(report.key()).isPresent()) {
            long lastHeardAt = mRegistry.lastSeenAt(report.key());
            mEntry.loop()
                    .execute(
                            () ->
                                    mEntry.targetSelector()
                                            .onReportOrigin(report.key(), control, lastHeardAt));
        }
        // Requests of an earlier incarnation may be retried at the one that has just reported.
        removeSuperseded();
    }

    private void removeSuperseded() {
        for (String id : mRegistry.takeSuperseded()) {
            mLog.write(Event.TARGET_CHANGED, "target", id, "ended", true);
            mEntry.loop().execute(() -> mEntry.onTargetRestarted(id));
        }
    }

    private void onLimits(Limits limits, String control) {
        List<AdvertisedLimit> told = LimitFrames.decode(limits, mClock.getAsLong());
        mEntry.loop()
                .execute(() -> told.forEach(limit -> mEntry.onLimitFromControl(limit, control)));
    }

    private void onCaches(Caches caches) {
        List<CacheUpdate> decoded =
                caches.getCachesList().stream().map(EntrySubscriber::decode).toList();
        mEntry.loop().execute(() -> decoded.forEach(mEntry.targetSelector()::onCacheUpdate));
    }

    private static CacheUpdate decode(org.quilldyke.gateway.instance.proto.CacheNews news) {
        return new CacheUpdate(
                news.getHolder(),
                news.getUp(),
                news.getRestarted() || news.getWhole(),
                news.getAddedList(),
                news.getRemovedList());
    }

    private void onLoading(Loading loading) {
        mEntry.loop()
                .execute(
                        () -> {
                            if (loading.hasWeights()) {
                                mEntry.targetSelector()
                                        .onWeightsReported(
                                                loading.getTarget(),
                                                loading.getWeights().getModel(),
                                                loading.getWeights().getVersion());
                            }
                            mEntry.onLoading(loading.getTarget(), loading.getLoading());
                        });
    }
}
