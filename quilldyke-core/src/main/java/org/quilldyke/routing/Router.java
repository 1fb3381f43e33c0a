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
package org.quilldyke.routing;

import java.util.ArrayList;
import java.util.List;
import org.quilldyke.QuilldykeException;
import org.quilldyke.ResultCode;
import org.quilldyke.engine.BlockChain;
import org.quilldyke.engine.TargetRecord;

/**
 * Chooses the candidate with the lowest predicted cost.
 *
 * <p>The predicted time to first token is the prefill time of the queue plus that of the units that
 * aren't cached, and the wait for a slot. Among candidates of nearly equal cost, rendezvous hashing
 * of the prompt's last full block decides, so that instances with empty or different views still
 * send equal prefixes to the same target. Not safe for use by several threads.
 */
public final class Router {
    /** Costs that differ by no more than this share of the lower one count as equal. */
    private static final double TIE_SHARE = 0.02;

    /** Costs that differ by no more than this count as equal, however low they are. */
    private static final double TIE_MILLIS = 2;

    private static final int DEFAULT_PREFILL_UNITS_PER_MILLI = 100;

    /** How long a request is assumed to occupy its slot, as no better estimate is available. */
    private static final double DEFAULT_RUN_MILLIS = 1000;

    private static final long MIN_RETRY_AFTER_MILLIS = 500;

    /** Share of the queueing delay that an urgent request is assumed to wait. */
    private static final double URGENT_QUEUE_SHARE = 0.1;

    private final CostProfile mCostProfile;
    private final PrefixIndex mIndex;
    private final LoadTable mLoads;

    private Router(CostProfile costProfile, PrefixIndex index, LoadTable loads) {
        mCostProfile = costProfile;
        mIndex = index;
        mLoads = loads;
    }

    /** Returns a router over the given views, which the caller keeps up to date. */
    public static Router create(CostProfile costProfile, PrefixIndex index, LoadTable loads) {
        return new Router(costProfile, index, loads);
    }

    /**
     * Chooses a target.
     *
     * @param candidates the live targets that may serve the request
     * @param urgent whether engines run the request ahead of others; it isn't refused for the
     *     length of their queues
     * @throws QuilldykeException {@link ResultCode#NO_TARGET} if there are none, {@link
     *     ResultCode#OVERLOADED} if each is at its limit or the wait is too long, see {@link
     *     LoadShedding}
     */
    public Decision decide(List<Candidate> candidates, boolean urgent) throws QuilldykeException {
        if (candidates.isEmpty()) {
            throw QuilldykeException.notRunRetryAfter(ResultCode.NO_TARGET, "", 1000);
        }
        List<ScoredCandidate> scored = new ArrayList<>(candidates.size());
        candidates.forEach(candidate -> scored.add(score(candidate, urgent)));
        Decision decision = best(scored);
        double cachedShare = decision.cachedUnits() / (double) Math.max(1, decision.units());
        if (!urgent && LoadShedding.rejects(decision.queueMillis(), cachedShare)) {
            throw QuilldykeException.notRunRetryAfter(
                    ResultCode.OVERLOADED,
                    "wait of " + decision.queueMillis() + " ms",
                    Math.max(MIN_RETRY_AFTER_MILLIS, decision.queueMillis()));
        }
        return decision;
    }

    /**
     * Chooses the target of a plain service with the lowest load in proportion to its slots.
     *
     * @param targets the live targets
     * @param key spreads requests over equally loaded targets
     * @throws QuilldykeException as {@link #decide}
     */
    public Decision decideByLoad(List<TargetRecord> targets, long key) throws QuilldykeException {
        if (targets.isEmpty()) {
            throw QuilldykeException.notRunRetryAfter(ResultCode.NO_TARGET, "", 1000);
        }
        BlockChain chain = BlockChain.ofKeys(new long[] {key}, 0);
        List<ScoredCandidate> scored = new ArrayList<>(targets.size());
        for (TargetRecord target : targets) {
            int requests = mLoads.requests(target.id());
            double load = 1000.0 * requests / target.slots();
            boolean full = requests >= requestLimit(target);
            Candidate candidate = new Candidate(target, chain);
            scored.add(new ScoredCandidate(candidate, 0, 0, 0, load, rank(candidate), full));
        }
        return best(scored);
    }

    private static Decision best(List<ScoredCandidate> candidates) throws QuilldykeException {
        ScoredCandidate best = null;
        ScoredCandidate second = null;
        int available = 0;
        for (ScoredCandidate scored : candidates) {
            if (scored.full()) {
                continue;
            }
            available++;
            if (best == null || isBetter(scored, best)) {
                second = best;
                best = scored;
            } else if (second == null || isBetter(scored, second)) {
                second = scored;
            }
        }
        if (best == null) {
            throw QuilldykeException.notRunRetryAfter(ResultCode.OVERLOADED, "", 1000);
        }
        return decision(best, second, available);
    }

    private ScoredCandidate score(Candidate candidate, boolean urgent) {
        TargetRecord target = candidate.target();
        BlockChain chain = candidate.chain();
        int matched = mIndex.matchedBlocks(target.id(), target.incarnation(), chain);
        int cachedUnits = matched * BlockChain.BLOCK_UNITS;
        double unitsPerMilli = unitsPerMilli(target);
        double queueMillis =
                mLoads.queuedUnits(target.id()) / unitsPerMilli + slotWaitMillis(target);
        int requests = mLoads.requests(target.id());
        boolean full = requests >= requestLimit(target);
        double prefillMillis = (chain.units() - cachedUnits) / unitsPerMilli;
        // An urgent request overtakes most of the queue. The delay of the requests that wait there
        // matters little beside it and is left out.
        double cost =
                urgent
                        ? mCostProfile.cost(URGENT_QUEUE_SHARE * queueMillis, prefillMillis, 0)
                        : mCostProfile.cost(
                                queueMillis, prefillMillis, mLoads.waiting(target.id()));
        return new ScoredCandidate(
                candidate, cachedUnits, queueMillis, prefillMillis, cost, rank(candidate), full);
    }

    /** Returns the predicted wait for a slot, by the number of requests ahead. */
    private double slotWaitMillis(TargetRecord target) {
        int ahead = mLoads.requests(target.id()) - target.slots() + 1;
        return ahead <= 0 ? 0 : ahead * DEFAULT_RUN_MILLIS / target.slots();
    }

    private static double unitsPerMilli(TargetRecord target) {
        int speed = target.prefillUnitsPerMilli();
        return speed > 0 ? speed : DEFAULT_PREFILL_UNITS_PER_MILLI;
    }

    private static int requestLimit(TargetRecord target) {
        return 4 * target.slots();
    }

    private static long rank(Candidate candidate) {
        BlockChain chain = candidate.chain();
        long prefix = chain.blocks() == 0 ? chain.units() : chain.key(chain.blocks() - 1);
        return Rendezvous.rank(prefix, candidate.target().id());
    }

    private static boolean isBetter(ScoredCandidate a, ScoredCandidate b) {
        double least = Math.min(a.cost(), b.cost());
        double tolerance = Math.max(TIE_MILLIS, TIE_SHARE * least);
        if (Math.abs(a.cost() - b.cost()) > tolerance) {
            return a.cost() < b.cost();
        }
        return Long.compareUnsigned(a.rank(), b.rank()) > 0;
    }

    private static Decision decision(ScoredCandidate best, ScoredCandidate second, int candidates) {
        return new Decision(
                best.candidate().target(),
                reason(best, second),
                best.candidate().chain().units(),
                best.cachedUnits(),
                Math.round(best.queueMillis()),
                Math.round(best.queueMillis() + best.prefillMillis()),
                second == null ? "" : second.candidate().target().id(),
                second == null ? 0 : Math.round(second.queueMillis() + second.prefillMillis()),
                candidates);
    }

    private static Decision.Reason reason(ScoredCandidate best, ScoredCandidate second) {
        if (second == null) {
            return Decision.Reason.ONLY;
        }
        if (best.cachedUnits() > second.cachedUnits()) {
            return Decision.Reason.CACHED;
        }
        if (Math.abs(best.cost() - second.cost()) <= TIE_MILLIS) {
            return Decision.Reason.RENDEZVOUS;
        }
        return Decision.Reason.LOAD;
    }

    /** A candidate with its predictions; {@code full} if it is at its request limit. */
    private record ScoredCandidate(
            Candidate candidate,
            int cachedUnits,
            double queueMillis,
            double prefillMillis,
            double cost,
            long rank,
            boolean full) {}
}
