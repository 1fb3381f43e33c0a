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
package org.quilldyke.daemon.caller;

import io.activej.promise.Promise;
import io.activej.promise.Promises;
import java.io.IOException;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.quilldyke.Outcome;
import org.quilldyke.QuilldykeException;
import org.quilldyke.ResultCode;
import org.quilldyke.caller.Attempt;
import org.quilldyke.caller.ChunkId;
import org.quilldyke.caller.StreamCursor;
import org.quilldyke.daemon.engine.Chunk;
import org.quilldyke.daemon.engine.EngineClient;
import org.quilldyke.daemon.engine.SseReader;
import org.quilldyke.daemon.log.Event;
import org.quilldyke.daemon.routing.SharedRouter;
import org.quilldyke.engine.BlockChain;
import org.quilldyke.engine.CacheScope;
import org.quilldyke.engine.TargetRecord;
import org.quilldyke.routing.Decision;

/**
 * Runs one request: routes it, reads its answer, and goes on after a break.
 *
 * <p>A broken connection is resumed at the same engine first. If the engine is gone, a request that
 * may be repeated goes on at another one, from the prompt and the text relayed so far; any other
 * ends with an explicit error. Pulled by its reader, so that a slow caller slows its engine and
 * nobody else. Lives on one traffic thread.
 */
final class RunRelay {
    private static final int RESUMES_PER_ATTEMPT = 2;
    private static final long RESUME_PAUSE_MILLIS = 20;

    private final TrafficContext mContext;
    private final EngineRequest mRequest;
    private final StreamCursor mCursor;
    private final RelayedAnswer mAnswer;
    private final RelayLog mLog;
    private final Map<String, BlockChain> mChains;
    private final Set<String> mTried = new HashSet<>();
    private final long mStartedAt;
    private TargetRecord mTarget;
    private SseReader mEvents;
    private Attempt mAttempt = Attempt.QUEUED;
    private Outcome mOutcome = Outcome.NOT_RUN;
    private int mResumesLeft;
    private boolean mClosed;

    private RunRelay(
            TrafficContext context,
            EngineRequest request,
            StreamCursor cursor,
            Map<String, BlockChain> chains) {
        mContext = context;
        mRequest = request;
        mCursor = cursor;
        mAnswer = RelayedAnswer.create(context, cursor);
        mLog = RelayLog.of(context, request, cursor);
        mChains = chains;
        mStartedAt = context.clock().getAsLong();
    }

    /** Returns a relay for a new request. */
    static RunRelay start(TrafficContext context, CallerRequest request) {
        Map<String, BlockChain> chains =
                SharedRouter.chains(
                        context.view().get().enginesFor(request.model()),
                        weights -> BlockChain.of(scope(request, weights), request.prompt()));
        return new RunRelay(
                context, EngineRequest.of(request), StreamCursor.create(request.id()), chains);
    }

    /** Returns a relay that resumes an answer for a caller who has it up to the cursor. */
    static RunRelay resume(
            TrafficContext context, EngineRequest request, StreamCursor cursor, TargetRecord at) {
        RunRelay relay = new RunRelay(context, request, cursor, Map.of());
        relay.mTarget = at;
        relay.mAttempt = Attempt.ACCEPTED;
        relay.mOutcome = Outcome.RAN;
        relay.mResumesLeft = RESUMES_PER_ATTEMPT;
        return relay;
    }

    /**
     * Returns the next chunks in order, an empty list at the end of the answer. Fails with a {@link
     * QuilldykeException} if the answer can't be had.
     */
    Promise<List<Chunk>> next() {
        if (mCursor.isFinished()) {
            return Promise.of(List.of());
        }
        if (mEvents == null && mAnswer.isTextWhole(mRequest)) {
            Chunk closing = mAnswer.close(mRequest);
            endAttempt();
            return Promise.of(List.of(closing));
        }
        if (mEvents == null) {
            Promise<Void> opened = mTarget == null ? startAttempt() : resumeOrRestart("reconnect");
            return opened.then(this::next);
        }
        return Promises.timeout(Duration.ofMillis(patience()), mEvents.read())
                .then(this::onRead, this::onBreak);
    }

    /**
     * Ends the run: if the answer isn't whole, the engine's run is cancelled after a grace time.
     */
    void close() {
        if (mClosed) {
            return;
        }
        mClosed = true;
        endAttempt();
        if (!mCursor.isFinished() && mTarget != null) {
            cancelRun(mContext.site().timings().resumeGrace());
        }
    }

    /** Returns what was relayed so far. */
    RelayedAnswer answer() {
        return mAnswer;
    }

    /** Returns the id under which a caller resumes after the chunk at a position. */
    String eventId(int position) {
        ChunkId id = new ChunkId(mCursor.request(), mCursor.attempt(), position);
        return mTarget.id() + "/" + id.format();
    }

    /** Returns the target of the present attempt, or null. */
    TargetRecord target() {
        return mTarget;
    }

    /** Returns when the relay was made. */
    long startedAt() {
        return mStartedAt;
    }

    /** Returns what became of the request so far, over all attempts. */
    Outcome outcome() {
        return mOutcome.and(mAttempt.outcome());
    }

    private Promise<Void> startAttempt() {
        if (mAnswer.isTextWhole(mRequest)) {
            return Promise.complete();
        }
        long now = mContext.clock().getAsLong();
        Decision decision;
        try {
            if (now >= mRequest.deadlineAt()) {
                throw QuilldykeException.of(ResultCode.DEADLINE_PASSED, mOutcome, "");
            }
            decision =
                    mContext.router()
                            .decide(
                                    mContext.view().get().enginesFor(mRequest.model()),
                                    mTried,
                                    mChains,
                                    mRequest.number(),
                                    mRequest.isUrgent(),
                                    now);
        } catch (QuilldykeException e) {
            return Promise.ofException(withOutcome(e));
        }
        mTarget = decision.target();
        int attempt = mCursor.startAttempt();
        mLog.routed(decision, attempt);
        if (now + decision.predictedMillis() > mRequest.deadlineAt()) {
            mContext.router().onEnd(mTarget.id(), mRequest.number());
            return Promise.ofException(
                    QuilldykeException.of(ResultCode.DEADLINE_PASSED, mOutcome, "predicted"));
        }
        mContext.metrics().attempts().inc();
        mAttempt = Attempt.SENDING;
        mResumesLeft = RESUMES_PER_ATTEMPT;
        byte[] body = mRequest.bodyFor(mTarget, mAnswer.text(), mCursor.next());
        return mContext.client()
                .complete(mTarget, mRequest.path(), mCursor.request(), attempt, body)
                .then(this::onAccepted, this::onAttemptFailed);
    }

    /** Frees the engine of a run that it has accepted, unless somebody resumes it meanwhile. */
    private void cancelRun(long afterMillis) {
        if (mAttempt != Attempt.ACCEPTED) {
            return;
        }
        TargetRecord target = mTarget;
        int attempt = mCursor.attempt();
        mContext.reactor()
                .delayBackground(
                        afterMillis,
                        () -> mContext.client().cancel(target, mCursor.request(), attempt));
    }

    private Promise<Void> onAccepted(SseReader events) {
        mAttempt = Attempt.ACCEPTED;
        mEvents = events;
        if (mClosed) {
            endAttempt();
        }
        return Promise.complete();
    }

    private Promise<Void> onAttemptFailed(Exception e) {
        if (e instanceof EngineClient.AttemptException failure) {
            mAttempt = failure.state();
        }
        return retry(e.getMessage(), ResultCode.TARGET_REFUSED);
    }

    private Promise<Void> retry(String why, ResultCode code) {
        endAttempt();
        if (mClosed) {
            // Nobody waits for another attempt, and the run may be resumed at another instance.
            return failed(code, why);
        }
        cancelRun(0);
        mOutcome = outcome();
        mTried.add(mTarget.id());
        mLog.failed(mTarget, mAttempt, why);

        if (!mAttempt.outcome().mayRetry(mRequest.repeatable())) {
            return failed(mAttempt == Attempt.SENDING ? ResultCode.TARGET_LOST : code, why);
        }
        if (mCursor.attempt() >= mContext.site().limits().attempts()) {
            return failed(code, why);
        }
        if (!mContext.budget().tryRetry()) {
            return failed(ResultCode.RETRIES_EXHAUSTED, why);
        }
        return startAttempt();
    }

    private Promise<List<Chunk>> onRead(List<SseReader.SseEvent> events) {
        if (events == null) {
            return resumeOrRestart("ended early").then(this::next);
        }
        List<Chunk> chunks = new ArrayList<>(events.size());
        try {
            for (SseReader.SseEvent event : events) {
                if (mCursor.isFinished()) {
                    break;
                }
                StreamCursor.Verdict verdict = accept(event, chunks);
                if (verdict == StreamCursor.Verdict.GAP) {
                    return chunks.isEmpty()
                            ? resumeOrRestart("gap").then(this::next)
                            : Promise.of(chunks);
                }
            }
        } catch (QuilldykeException e) {
            mContext.log().write(Event.INVARIANT, "detail", e.getMessage());
            return Promise.ofException(e);
        } catch (IOException e) {
            return resumeOrRestart(e.getMessage()).then(this::next);
        }
        if (mCursor.isFinished()) {
            onFinished();
        }
        return chunks.isEmpty() ? next() : Promise.of(chunks);
    }

    private Promise<List<Chunk>> onBreak(Exception e) {
        if (mContext.clock().getAsLong() >= mRequest.deadlineAt()) {
            return this.<List<Chunk>>failed(ResultCode.DEADLINE_PASSED, "while running");
        }
        return resumeOrRestart(e.toString()).then(this::next);
    }

    private StreamCursor.Verdict accept(SseReader.SseEvent event, List<Chunk> chunks)
            throws IOException, QuilldykeException {
        int position = mCursor.next();
        StreamCursor.Verdict verdict = mAnswer.accept(event, chunks);
        if (position == 0 && verdict == StreamCursor.Verdict.NEXT) {
            mContext.router().onFirstToken(mTarget.id(), mRequest.number());
        }
        return verdict;
    }

    private void onFinished() {
        BlockChain chain = mChains.get(mTarget.weights());
        if (chain != null && mCursor.attempt() == 1) {
            mContext.router().onCachedUnits(mTarget, chain, mAnswer.cachedUnits());
        }
        mEvents.finish();
        mEvents = null;
        endAttempt();
    }

    private Promise<Void> resumeOrRestart(String why) {
        closeEvents();
        TargetRecord live = mContext.view().get().find(mTarget.id());
        boolean sameLife = live != null && live.incarnation() == mTarget.incarnation();
        if (!sameLife || mResumesLeft == 0 || mClosed) {
            return retry(why, ResultCode.STREAM_BROKEN);
        }
        mResumesLeft--;
        mContext.metrics().continued().inc();
        mLog.continued(mTarget, why);

        return Promises.delay(RESUME_PAUSE_MILLIS)
                .then(
                        () ->
                                mContext.client()
                                        .resume(
                                                mTarget,
                                                mCursor.request(),
                                                mCursor.attempt(),
                                                mCursor.next(),
                                                mRequest.saltFor(mTarget.weights())))
                .then(
                        events -> {
                            mEvents = events;
                            if (mClosed) {
                                closeEvents();
                            }
                            return Promise.complete();
                        },
                        e -> {
                            EngineClient.AttemptException failure =
                                    (EngineClient.AttemptException) e;
                            boolean gone = failure.state() != Attempt.SENDING;
                            return gone
                                    ? retry(e.getMessage(), ResultCode.STREAM_BROKEN)
                                    : resumeOrRestart(e.getMessage());
                        });
    }

    private long patience() {
        long now = mContext.clock().getAsLong();
        long patience =
                mCursor.next() == 0
                        ? mContext.site().timings().firstToken()
                        : mContext.site().timings().stall();
        long left = mRequest.deadlineAt() - now;
        return Math.max(1, Math.min(patience, left));
    }

    private void endAttempt() {
        if (mTarget != null) {
            mContext.router().onEnd(mTarget.id(), mRequest.number());
        }
        closeEvents();
    }

    private void closeEvents() {
        if (mEvents != null) {
            mEvents.close();
            mEvents = null;
        }
    }

    private <T> Promise<T> failed(ResultCode code, String why) {
        return Promise.ofException(QuilldykeException.of(code, outcome(), why));
    }

    /**
     * Returns a refusal of the router as one of the whole request: earlier attempts may have run.
     */
    private QuilldykeException withOutcome(QuilldykeException e) {
        return mOutcome == Outcome.NOT_RUN
                ? e
                : QuilldykeException.of(e.code(), mOutcome, "after an attempt");
    }

    private static CacheScope scope(CallerRequest request, String weights) {
        return EngineRequest.scope(request.organisation().name(), request.model().name(), weights);
    }
}
