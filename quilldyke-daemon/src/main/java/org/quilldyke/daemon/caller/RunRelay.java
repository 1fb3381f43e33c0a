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

import io.activej.async.exception.AsyncTimeoutException;
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
import org.quilldyke.caller.AttemptState;
import org.quilldyke.caller.ChunkId;
import org.quilldyke.caller.CutCause;
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
 * <p>A broken connection is resumed at the same engine first. If that doesn't help, a request that
 * may be repeated goes on at another one, from the prompt and the text relayed so far. A run that
 * may be at work is kept until another one has begun, and gone back to if none does. An answer
 * under way waits for an engine or an allowance; it ends with an explicit error once its run is
 * lost and may not be repeated, or its time or patience is over. Pulled by its reader, so that a
 * slow caller slows its engine and nobody else. Lives on one traffic thread.
 */
final class RunRelay {
    /** Continuations in a row without an event before another engine is looked for. */
    private static final int RESUMES_IN_A_ROW = 2;

    private static final long RESUME_PAUSE_MILLIS = 20;

    /**
     * Before an answer under way asks again for what it didn't get, in milliseconds: a tenth of
     * what callers notice at first, doubled each time up to what engines' announcements take.
     */
    private static final long FIRST_WAIT_MILLIS = 100;

    private static final long LONGEST_WAIT_MILLIS = 1000;

    private final TrafficContext mContext;
    private final EngineRequest mRequest;
    private final StreamCursor mCursor;
    private final RelayedAnswer mAnswer;
    private final RelayLog mLog;
    private final Map<String, BlockChain> mChains;
    private final Set<String> mTried = new HashSet<>();
    private final long mStartedAt;
    private final long mPatienceMillis;
    private TargetRecord mTarget;
    private SseReader mEvents;
    private AttemptState mAttempt = AttemptState.QUEUED;
    private Outcome mOutcome = Outcome.NOT_RUN;
    private int mResumesLeft;
    private KeptRun mKept;
    private boolean mLost;
    private int mUnrunAttempts;
    private String mFailure = "";
    private ResultCode mFailureCode = ResultCode.TARGET_REFUSED;
    private CutCause mCause = CutCause.TARGET;
    private long mHeardAt;
    private long mWaitMillis = FIRST_WAIT_MILLIS;
    private boolean mCut;
    private boolean mClosed;

    private RunRelay(
            TrafficContext context,
            EngineRequest request,
            StreamCursor cursor,
            Map<String, BlockChain> chains,
            long patienceMillis) {
        mContext = context;
        mRequest = request;
        mCursor = cursor;
        mAnswer = RelayedAnswer.create(context, cursor);
        mLog = RelayLog.of(context, request, cursor);
        mChains = chains;
        mStartedAt = context.clock().getAsLong();
        mHeardAt = mStartedAt;
        mPatienceMillis = patienceMillis;
    }

    /** Returns a relay for a new request. */
    static RunRelay start(TrafficContext context, CallerRequest request) {
        Map<String, BlockChain> chains =
                SharedRouter.chains(
                        context.view().get().enginesFor(request.model()),
                        weights -> BlockChain.of(scope(request, weights), request.prompt()));
        return new RunRelay(
                context,
                EngineRequest.of(request),
                StreamCursor.create(request.id()),
                chains,
                context.site().timings().firstToken());
    }

    /** Returns a relay that resumes an answer for a caller who has it up to the cursor. */
    static RunRelay resume(
            TrafficContext context, EngineRequest request, StreamCursor cursor, TargetRecord at) {
        long patience = context.site().timings().stall();
        RunRelay relay = new RunRelay(context, request, cursor, Map.of(), patience);
        relay.mTarget = at;
        relay.mAttempt = AttemptState.ACCEPTED;
        relay.mOutcome = Outcome.RAN;
        relay.mResumesLeft = RESUMES_IN_A_ROW;
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
            Promise<Void> opened = mTarget == null ? startAttempt() : goOn("reconnect");
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
        long grace = mContext.site().timings().resumeGrace();
        if (!mCursor.isFinished() && mTarget != null) {
            cancelRun(grace);
        }
        cancelKept(grace);
    }

    /** Notes that the answer is cut in its middle by this instance's end. */
    void onShutdownCut(QuilldykeException e) {
        noteCut(CutCause.SHUTDOWN, e);
    }

    /** Notes that the answer is cut in its middle. */
    void onCut(QuilldykeException e) {
        noteCut(e.code() == ResultCode.DEADLINE_PASSED ? CutCause.TIME : mCause, e);
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
        return mOutcome.combinedWith(mAttempt.outcome());
    }

    private Promise<Void> startAttempt() {
        if (mAnswer.isTextWhole(mRequest)) {
            return Promise.complete();
        }
        long now = mContext.clock().getAsLong();
        if (now >= mRequest.deadlineAt()) {
            return failed(ResultCode.DEADLINE_PASSED, "");
        }
        Decision decision;
        try {
            decision =
                    mContext.router()
                            .decide(
                                    targets(),
                                    mTried,
                                    mChains,
                                    mRequest.number(),
                                    mRequest.isUrgent(),
                                    now);
        } catch (QuilldykeException e) {
            return onNobody(e);
        }
        mTarget = decision.target();
        int attempt = mCursor.startAttempt();
        mLog.routed(decision, attempt);
        if (!isUnderWay() && now + decision.predictedMillis() > mRequest.deadlineAt()) {
            mContext.router().onEnd(mTarget.id(), mRequest.number());
            return Promise.ofException(
                    QuilldykeException.of(ResultCode.DEADLINE_PASSED, mOutcome, "predicted"));
        }
        return send(attempt);
    }

    private Promise<Void> send(int attempt) {
        mContext.metrics().attempts().inc();
        mAttempt = AttemptState.SENDING;
        mLost = false;
        mResumesLeft = RESUMES_IN_A_ROW;
        byte[] body = mRequest.bodyFor(mTarget, mAnswer.text(), mCursor.nextPosition());
        return mContext.client()
                .complete(mTarget, mRequest.path(), mCursor.request(), attempt, body)
                .then(this::onAccepted, this::onAttemptFailed);
    }

    /** Returns who may run the request; the engine of a kept run is asked for that one only. */
    private List<TargetRecord> targets() {
        List<TargetRecord> targets = mContext.view().get().enginesFor(mRequest.model());
        if (mKept != null) {
            targets.removeIf(target -> target.id().equals(mKept.target().id()));
        }
        return targets;
    }

    /** Nobody takes the request now: its end, unless an answer is under way. */
    private Promise<Void> onNobody(QuilldykeException e) {
        if (!isUnderWay()) {
            return Promise.ofException(withOutcome(e));
        }
        mContext.budget().release();
        return await(withOutcome(e), true);
    }

    /** Frees the engine of a run that it has accepted, unless somebody resumes it meanwhile. */
    private void cancelRun(long afterMillis) {
        if (mAttempt == AttemptState.ACCEPTED && !mLost) {
            cancel(mTarget, mCursor.attempt(), afterMillis);
        }
    }

    private void cancelKept(long afterMillis) {
        if (mKept != null) {
            mContext.router().onEnd(mKept.target().id(), mRequest.number());
            cancel(mKept.target(), mKept.attempt(), afterMillis);
            mKept = null;
        }
    }

    private void cancel(TargetRecord target, int attempt, long afterMillis) {
        mContext.reactor()
                .delayBackground(
                        afterMillis,
                        () -> mContext.client().cancel(target, mCursor.request(), attempt));
    }

    private Promise<Void> onAccepted(SseReader events) {
        mAttempt = AttemptState.ACCEPTED;
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
        return restart(e.getMessage(), ResultCode.TARGET_REFUSED);
    }

    /** Leaves the present run, but for one that may be at work, and looks for another engine. */
    private Promise<Void> restart(String why, ResultCode code) {
        closeEvents();
        if (mClosed) {
            // Nobody waits for another attempt, and the run may be resumed at another instance.
            endAttempt();
            return failed(code, why);
        }
        mFailure = why;
        mFailureCode = code;
        mLog.failed(mTarget, mAttempt, why);
        mOutcome = outcome();
        mTried.add(mTarget.id());
        if (mAttempt == AttemptState.ACCEPTED && !mLost && mKept == null) {
            mKept = new KeptRun(mTarget, mCursor.attempt());
        } else {
            endAttempt();
            cancelRun(0);
        }
        return isUnderWay() && mAttempt.outcome() == Outcome.NOT_RUN ? onUnrun() : tryElsewhere();
    }

    /** Another engine hasn't run what it was sent, which costs an answer under way nothing. */
    private Promise<Void> onUnrun() {
        mUnrunAttempts++;
        mContext.budget().release();
        return await(failure(mFailureCode), true);
    }

    private Promise<Void> tryElsewhere() {
        if (mClosed) {
            return failed(mFailureCode, mFailure);
        }
        if (!mAttempt.outcome().mayRetry(mRequest.repeatable())) {
            boolean unknown = mAttempt == AttemptState.SENDING;
            return await(failure(unknown ? ResultCode.TARGET_LOST : mFailureCode), false);
        }
        int spent = mCursor.attemptsStarted() - mUnrunAttempts;
        if (spent >= mContext.site().limits().attempts()) {
            return await(failure(mFailureCode), false);
        }
        if (!mContext.budget().tryAcquire()) {
            return await(failure(ResultCode.RETRIES_EXHAUSTED), true);
        }
        return startAttempt();
    }

    /**
     * Waits a moment and tries on, if an answer is under way that somebody may go on with.
     *
     * @param end what ends the answer otherwise
     * @param passes whether another engine may take it in a moment
     */
    private Promise<Void> await(QuilldykeException end, boolean passes) {
        boolean mayGoOn = mKept != null || passes;
        long now = mContext.clock().getAsLong();
        if (now >= mRequest.deadlineAt()) {
            return failed(ResultCode.DEADLINE_PASSED, mFailure);
        }
        long left = Math.min(mHeardAt + mPatienceMillis, mRequest.deadlineAt()) - now;
        if (!isUnderWay() || !mayGoOn || left <= 0) {
            return Promise.ofException(end);
        }
        long wait = Math.min(mWaitMillis, left);
        mWaitMillis = Math.min(2 * mWaitMillis, LONGEST_WAIT_MILLIS);
        return Promises.delay(wait).then(() -> mKept != null ? goBack() : tryElsewhere());
    }

    /** Goes back to the run that was kept, since no other one has begun. */
    private Promise<Void> goBack() {
        mTarget = mKept.target();
        mCursor.returnToAttempt(mKept.attempt());
        mKept = null;
        mAttempt = AttemptState.ACCEPTED;
        mLost = false;
        mResumesLeft = 1;
        return goOn(mFailure);
    }

    /** Returns whether something of an answer was relayed, or may be coming. */
    private boolean isUnderWay() {
        return mCursor.nextPosition() > 0 || mKept != null;
    }

    private Promise<List<Chunk>> onRead(List<SseReader.SseEvent> events) {
        if (events == null) {
            return onBroken("ended early");
        }
        List<Chunk> chunks = new ArrayList<>(events.size());
        try {
            for (SseReader.SseEvent event : events) {
                if (mCursor.isFinished()) {
                    break;
                }
                StreamCursor.Verdict verdict = accept(event, chunks);
                if (verdict == StreamCursor.Verdict.GAP) {
                    return chunks.isEmpty() ? onBroken("gap") : Promise.of(chunks);
                }
            }
        } catch (QuilldykeException e) {
            mContext.log().write(Event.INVARIANT, "detail", e.getMessage());
            return Promise.ofException(e);
        } catch (IOException e) {
            return onBroken(e.getMessage());
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
        mCause = e instanceof AsyncTimeoutException ? CutCause.SILENCE : CutCause.TARGET;
        return goOn(e.toString()).then(this::next);
    }

    private Promise<List<Chunk>> onBroken(String why) {
        mCause = CutCause.TARGET;
        return goOn(why).then(this::next);
    }

    private StreamCursor.Verdict accept(SseReader.SseEvent event, List<Chunk> chunks)
            throws IOException, QuilldykeException {
        int position = mCursor.nextPosition();
        StreamCursor.Verdict verdict = mAnswer.accept(event, chunks);
        if (verdict == StreamCursor.Verdict.NEXT) {
            onHeard(position);
        }
        return verdict;
    }

    private void onHeard(int position) {
        if (position == 0) {
            mContext.router().onFirstToken(mTarget.id(), mRequest.number());
        }
        mHeardAt = mContext.clock().getAsLong();
        mWaitMillis = FIRST_WAIT_MILLIS;
        mResumesLeft = RESUMES_IN_A_ROW;
        cancelKept(0);
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

    /** Goes on after a break: at the same engine, as long as that may help. */
    private Promise<Void> goOn(String why) {
        closeEvents();
        if (mResumesLeft == 0 || mLost || mClosed) {
            return restart(why, ResultCode.STREAM_BROKEN);
        }
        mResumesLeft--;
        mContext.metrics().continued().inc();
        mLog.continued(mTarget, why);
        return Promises.delay(RESUME_PAUSE_MILLIS)
                .then(this::resume)
                .then(this::onResumed, this::onResumeFailed);
    }

    private Promise<SseReader> resume() {
        if (mClosed) {
            return failed(ResultCode.STREAM_BROKEN, "closed");
        }
        return mContext.client()
                .resume(
                        mTarget,
                        mCursor.request(),
                        mCursor.attempt(),
                        mCursor.nextPosition(),
                        mRequest.saltFor(mTarget.weights()));
    }

    private Promise<Void> onResumed(SseReader events) {
        mEvents = events;
        if (mClosed) {
            closeEvents();
        }
        return Promise.complete();
    }

    private Promise<Void> onResumeFailed(Exception e) {
        if (e instanceof EngineClient.AttemptException failure) {
            mLost = failure.isRunLost();
        }
        return goOn(e.getMessage());
    }

    private long patience() {
        long now = mContext.clock().getAsLong();
        long patience =
                mCursor.nextPosition() == 0
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

    private void noteCut(CutCause cause, QuilldykeException e) {
        if (mCut || mCursor.isFinished()) {
            return;
        }
        mCut = true;
        mContext.metrics().cut(cause).inc();
        mLog.cut(cause, e, mTarget, mStartedAt, mHeardAt);
    }

    private QuilldykeException failure(ResultCode code) {
        return QuilldykeException.of(code, outcome(), mFailure);
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

    /** A run that may be at work and is gone back to, unless another one begins. */
    private record KeptRun(TargetRecord target, int attempt) {}
}
