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
package org.quilldyke.weights;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.quilldyke.engine.Incarnation;
import org.quilldyke.engine.TargetReport;

/**
 * Decides which engine loads which weights next.
 *
 * <p>Only the control process that may order engines to load uses it. A few engines load at once
 * while the others serve; a version that is replaced before an engine starts to load it is skipped.
 * An engine is announced first, so that no instance sends it requests, then queried for its
 * revision, then ordered at that revision: an order whose answer was lost and that takes effect
 * later can't undo a newer one.
 */
public final class LoadPlanner {
    /**
     * Share of the responsive engines that may load at once: 2 of 6, 18 of 63. More slow each other
     * down. Unresponsive engines aren't counted, since the others are needed all the more.
     */
    static final double MAX_CONCURRENT_SHARE = 2.0 / 7;

    /** Delay between announcement and order, in which the announcement reaches all instances. */
    static final long ANNOUNCEMENT_DELAY_MILLIS = 40;

    /** Delay of the first status query after an order; a load takes about this long. */
    static final long FIRST_POLL_MILLIS = 750;

    /** Interval of the status queries after that. */
    static final long POLL_MILLIS = 250;

    /**
     * Delay before an engine that didn't answer is queried again, an order without an effect is
     * repeated or an abandoned load is retried.
     */
    static final long RETRY_MILLIS = 500;

    /** After this many unanswered queries, a load that hasn't been ordered is abandoned. */
    static final int MAX_UNANSWERED_QUERIES = 2;

    /** A load that isn't done this long after its announcement is abandoned and retried later. */
    static final long LOAD_TIMEOUT_MILLIS = 8000;

    private final Map<String, Job> mJobs = new HashMap<>();
    private final Map<String, Long> mRetryAt = new HashMap<>();

    private LoadPlanner() {}

    /** Returns a planner without loads in progress. */
    public static LoadPlanner create() {
        return new LoadPlanner();
    }

    /** Discards all loads in progress, since this instance may no longer order. */
    public List<LoadAction> stop() {
        List<LoadAction> actions = new ArrayList<>();
        mJobs.values()
                .forEach(
                        job ->
                                actions.add(
                                        new LoadAction.ReturnToService(
                                                job.mTarget, job.mModel, 0)));
        mJobs.clear();
        return actions;
    }

    /**
     * Returns the actions that are due.
     *
     * @param fleet the live engines
     * @param wanted the version of each model's weights that all engines should have
     * @param now the present time
     */
    public List<LoadAction> tick(EngineFleet fleet, Map<String, Long> wanted, long now) {
        List<TargetReport> engines = fleet.engines();
        List<LoadAction> actions = new ArrayList<>();
        Set<String> liveIds = new HashSet<>();
        engines.forEach(engine -> liveIds.add(engine.key()));
        mJobs.values().removeIf(job -> !liveIds.contains(job.mTarget));
        engines.forEach(engine -> finishIfLoaded(engine, actions));
        for (Job job : List.copyOf(mJobs.values())) {
            advance(job, actions, now);
        }
        wanted.forEach((model, version) -> startLoads(fleet, model, version, actions, now));
        return actions;
    }

    /** Applies an engine's status; one of another incarnation counts as no answer. */
    public List<LoadAction> onStatus(String target, EngineStatus status, long now) {
        Job job = mJobs.get(target);
        if (job == null) {
            return List.of();
        }
        if (!Incarnation.ofKey(target).mayMatch(status.startedAtMillis())) {
            return onStatusUnavailable(target, now);
        }
        job.mStatusPending = false;
        job.mUnansweredQueries = 0;
        long loadedVersion = status.weights().getOrDefault(job.mModel, 0L);
        if (!status.busy() && loadedVersion >= job.mVersion) {
            mJobs.remove(target);
            return List.of(new LoadAction.ReturnToService(target, job.mModel, loadedVersion));
        }
        if (status.busy() || job.mOrdered && status.revision() > job.mRevision) {
            // In progress, by this order or by an earlier one that was assumed lost.
            job.mNextQueryAt = now + POLL_MILLIS;
            return List.of();
        }
        if (job.mOrdered && now - job.mOrderedAt < RETRY_MILLIS) {
            // The order may still take effect.
            job.mNextQueryAt = now + POLL_MILLIS;
            return List.of();
        }
        job.mRevision = status.revision();
        job.mOrdered = true;
        job.mOrderedAt = now;
        job.mNextQueryAt = now + FIRST_POLL_MILLIS;
        return List.of(new LoadAction.Order(target, job.mModel, job.mVersion, status.revision()));
    }

    /** Records that an engine didn't answer a status query. */
    public List<LoadAction> onStatusUnavailable(String target, long now) {
        Job job = mJobs.get(target);
        if (job == null) {
            return List.of();
        }
        job.mStatusPending = false;
        job.mNextQueryAt = now + RETRY_MILLIS;
        job.mUnansweredQueries++;
        boolean keepWaiting = job.mOrdered || job.mUnansweredQueries < MAX_UNANSWERED_QUERIES;
        return keepWaiting ? List.of() : List.of(abandon(job, now));
    }

    /** Applies the outcome of an order. */
    public List<LoadAction> onOrderOutcome(String target, OrderOutcome outcome, long now) {
        Job job = mJobs.get(target);
        if (job == null) {
            return List.of();
        }
        switch (outcome) {
            case HOLDS -> {
                mJobs.remove(target);
                return List.of(new LoadAction.ReturnToService(target, job.mModel, job.mVersion));
            }
            case CONFLICT, REFUSED -> {
                job.mOrdered = false;
                job.mNextQueryAt = now + POLL_MILLIS;
            }
            case UNKNOWN -> job.mNextQueryAt = now + ANNOUNCEMENT_DELAY_MILLIS;
            default -> {
                // Accepted: status queries show when it is done.
            }
        }
        return List.of();
    }

    /**
     * Returns an engine to service if its own report, which may precede the next query, shows that
     * it has loaded.
     */
    private void finishIfLoaded(TargetReport engine, List<LoadAction> actions) {
        Job job = mJobs.get(engine.key());
        if (job == null) {
            return;
        }
        long loadedVersion = engine.weights().getOrDefault(job.mModel, 0L);
        if (loadedVersion >= job.mVersion) {
            mJobs.remove(engine.key());
            actions.add(new LoadAction.ReturnToService(engine.key(), job.mModel, loadedVersion));
        }
    }

    private void startLoads(
            EngineFleet fleet, String model, long version, List<LoadAction> actions, long now) {
        List<TargetReport> engines = byPriority(fleet, model);
        long responsive = engines.stream().filter(engine -> !fleet.isUnresponsive(engine)).count();
        long maxConcurrent = Math.max(1, Math.round(responsive * MAX_CONCURRENT_SHARE));
        long loading = mJobs.values().stream().filter(job -> job.mModel.equals(model)).count();
        for (TargetReport engine : engines) {
            boolean due =
                    engine.weights().get(model) < version
                            && !engine.leaving()
                            && !fleet.isUnresponsive(engine)
                            && !mJobs.containsKey(engine.key())
                            && now >= mRetryAt.getOrDefault(engine.key(), Long.MIN_VALUE);
            if (due && loading < maxConcurrent) {
                loading++;
                mJobs.put(engine.key(), new Job(engine.key(), model, version, now));
                actions.add(new LoadAction.AnnounceLoading(engine.key()));
            }
        }
    }

    /**
     * Returns the engines that have a model. The oldest weights come first, so that no engine is
     * passed over by version after version; among these, engines with the fewest open requests.
     */
    private static List<TargetReport> byPriority(EngineFleet fleet, String model) {
        return fleet.engines().stream()
                .filter(engine -> engine.weights().containsKey(model))
                .sorted(
                        Comparator.<TargetReport>comparingLong(e -> e.weights().get(model))
                                .thenComparingInt(fleet::openRequests))
                .toList();
    }

    private void advance(Job job, List<LoadAction> actions, long now) {
        if (now - job.mStartedAt > LOAD_TIMEOUT_MILLIS) {
            actions.add(abandon(job, now));
        } else if (!job.mStatusPending && now >= job.mNextQueryAt) {
            job.mStatusPending = true;
            actions.add(new LoadAction.QueryStatus(job.mTarget));
        }
    }

    private LoadAction abandon(Job job, long now) {
        mJobs.remove(job.mTarget);
        mRetryAt.put(job.mTarget, now + RETRY_MILLIS);
        return new LoadAction.ReturnToService(job.mTarget, job.mModel, 0);
    }

    /** The load of new weights at one engine. */
    private static final class Job {
        final String mTarget;
        final String mModel;
        final long mVersion;
        final long mStartedAt;
        long mNextQueryAt;
        boolean mStatusPending;
        boolean mOrdered;
        long mOrderedAt;
        long mRevision;
        int mUnansweredQueries;

        Job(String target, String model, long version, long now) {
            mTarget = target;
            mModel = model;
            mVersion = version;
            mStartedAt = now;
            mNextQueryAt = now + ANNOUNCEMENT_DELAY_MILLIS;
        }
    }
}
