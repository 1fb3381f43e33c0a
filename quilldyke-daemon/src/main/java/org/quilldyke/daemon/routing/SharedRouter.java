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
package org.quilldyke.daemon.routing;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.quilldyke.QuilldykeException;
import org.quilldyke.engine.BlockChain;
import org.quilldyke.engine.CacheEvent;
import org.quilldyke.engine.LoadReport;
import org.quilldyke.engine.TargetRecord;
import org.quilldyke.routing.Candidate;
import org.quilldyke.routing.CostProfile;
import org.quilldyke.routing.Decision;
import org.quilldyke.routing.LoadTable;
import org.quilldyke.routing.PrefixIndex;
import org.quilldyke.routing.Router;

/** The router with its views, shared by the traffic threads; one short lock guards it all. */
public final class SharedRouter {
    private static final long REPORT_LAG_MILLIS = 100;

    private final PrefixIndex mIndex = PrefixIndex.create();
    private final LoadTable mLoads = LoadTable.create(REPORT_LAG_MILLIS);
    private final Router mRouter;

    private SharedRouter(CostProfile weights) {
        mRouter = Router.create(weights, mIndex, mLoads);
    }

    /** Returns a router that knows of no target yet. */
    public static SharedRouter create(CostProfile weights) {
        return new SharedRouter(weights);
    }

    /**
     * Chooses a target and counts the request there until {@link #onEnd}.
     *
     * @param targets those that may serve it
     * @param excluded ids of targets to leave out, unless nothing else is left
     * @param chains the prompt's chain by weight version; a plain service's request has one under
     *     the empty version
     * @param number the request's number in this process
     * @param urgent whether the engines let it go ahead of the others
     * @param now the present time
     * @throws QuilldykeException if no target is live or all are at their limit
     */
    public synchronized Decision decide(
            List<TargetRecord> targets,
            Set<String> excluded,
            Map<String, BlockChain> chains,
            long number,
            boolean urgent,
            long now)
            throws QuilldykeException {
        List<Candidate> candidates = candidates(targets, excluded, chains);
        if (candidates.isEmpty()) {
            candidates = candidates(targets, Set.of(), chains);
        }
        Decision decision = mRouter.decide(candidates, urgent);
        TargetRecord target = decision.target();
        BlockChain chain = chains.get(target.weights());
        mLoads.onDispatch(target.id(), number, decision.units() - decision.cachedUnits(), now);
        mIndex.onDispatch(target.id(), target.incarnation(), chain);
        return decision;
    }

    /**
     * Chooses a target of a plain service and counts the request there until {@link #onEnd}.
     *
     * @param targets those that may serve it
     * @param excluded ids of targets to leave out, unless nothing else is left
     * @param number the request's number in this process
     * @param now the present time
     * @throws QuilldykeException if no target is live or all are at their limit
     */
    public synchronized Decision decideByLoad(
            List<TargetRecord> targets, Set<String> excluded, long number, long now)
            throws QuilldykeException {
        List<TargetRecord> others = new ArrayList<>(targets);
        others.removeIf(target -> excluded.contains(target.id()));
        Decision decision = mRouter.decideByLoad(others.isEmpty() ? targets : others, number);
        mLoads.onDispatch(decision.target().id(), number, 0, now);
        return decision;
    }

    /** Notes the first token of a request. */
    public synchronized void onFirstToken(String target, long number) {
        mLoads.onFirstToken(target, number);
    }

    /** Notes the end of an attempt. */
    public synchronized void onEnd(String target, long number) {
        mLoads.onEnd(target, number);
    }

    /** Notes how much of a prompt the engine found in its cache. */
    public synchronized void onCachedUnits(TargetRecord target, BlockChain chain, int units) {
        mIndex.onCachedUnits(target.id(), target.incarnation(), chain, units);
    }

    /** Notes a cache event; returns whether events before it were lost. */
    public synchronized boolean onEvent(TargetRecord target, CacheEvent event) {
        return mIndex.onEvent(target.id(), target.incarnation(), event);
    }

    /** Replaces what is known of an engine's cache. */
    public synchronized void onResync(String target, long incarnation, long sequence, long[] keys) {
        mIndex.onResync(target, incarnation, sequence, keys);
    }

    /** Notes a load report. */
    public synchronized void onReport(TargetRecord target, LoadReport report, long now) {
        if (report.incarnation() == target.incarnation()) {
            mLoads.onReport(target.id(), report, now);
        }
    }

    /** Notes that a target lives under an incarnation. */
    public synchronized void onTarget(TargetRecord target) {
        mIndex.onIncarnation(target.id(), target.incarnation());
    }

    /** Forgets a target. */
    public synchronized void onTargetLost(String target) {
        mIndex.onTargetExpired(target);
        mLoads.onTargetExpired(target);
    }

    /** Returns the blocks known of a target, and the last event included, for a peer. */
    public synchronized Cached cachedAt(TargetRecord target) {
        return new Cached(
                mIndex.sequence(target.id()), mIndex.blocksOf(target.id(), target.incarnation()));
    }

    /** Returns the number of block copies in the index. */
    public synchronized long indexSize() {
        return mIndex.size();
    }

    private static List<Candidate> candidates(
            List<TargetRecord> targets, Set<String> excluded, Map<String, BlockChain> chains) {
        List<Candidate> candidates = new ArrayList<>(targets.size());
        for (TargetRecord target : targets) {
            BlockChain chain = chains.get(target.weights());
            if (chain != null && !excluded.contains(target.id())) {
                candidates.add(new Candidate(target, chain));
            }
        }
        return candidates;
    }

    /**
     * The blocks known of one target.
     *
     * @param sequence the last event included
     * @param keys the blocks' keys
     */
    public record Cached(long sequence, long[] keys) {}

    /** Returns the chains of a prompt under each weight version that the targets have loaded. */
    public static Map<String, BlockChain> chains(List<TargetRecord> targets, ChainSource source) {
        Map<String, BlockChain> chains = new HashMap<>();
        for (TargetRecord target : targets) {
            chains.computeIfAbsent(target.weights(), source::chainFor);
        }
        return chains;
    }

    /** Computes a prompt's chain under a weight version. */
    public interface ChainSource {
        /** Returns the chain. */
        BlockChain chainFor(String weights);
    }
}
