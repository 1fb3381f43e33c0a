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
package org.quilldyke.caller;

import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import org.quilldyke.ResultCode;
import org.quilldyke.manifest.Route;
import org.quilldyke.routing.Choice;
import org.quilldyke.routing.TargetBook;

/**
 * Decides what becomes of one request: where it goes, whether it may be sent again, and what its
 * caller is told.
 *
 * <p>The one place that knows whether a request may have run. A caller is told "not run" only if no
 * byte was sent, or each target it was sent to has said so. A request that may have run is sent
 * again only if it may run twice, within the route's number of attempts and the allowance for
 * second attempts.
 *
 * <p>A run that may be at work is never left before another one has begun to answer: where this
 * instance would rather have the answer from elsewhere, it asks a successor and keeps the run. What
 * fails then is the successor alone. An answer under way ends early only if its target failed and
 * nobody else may run it, if its own time is over, or if this instance has to end.
 */
public final class Forwarding {
    /** A request that can't be sent anywhere waits for a part of its objective at most. */
    private static final int WAIT_DIVISOR = 5;

    private static final long WAIT_STEP_MILLIS = 20;

    /** How often a request may fail to reach a target before its caller is told. */
    private static final int MAX_UNSENT = 5;

    /** A target may be silent for this long before another one is asked, whatever the objective. */
    private static final long MIN_SILENCE_MILLIS = 800;

    /**
     * A stream is moved by choice only if this many second attempts are left: one for itself, and
     * two that stay for answers whose target fails.
     */
    private static final int MOVE_ATTEMPTS = 3;

    /** A second attempt with less time than this is pointless. */
    private static final long MIN_MILLIS_LEFT = 30;

    private final ForwardRequest mRequest;
    private final TargetBook mBook;
    private final RetryAllowance mRetries;
    private final ShutdownAdmission mShutdown;
    private final SuspectRequests mSuspects;
    private final RunHistory mHistory;
    private final TimelyEnd mTimelyEnd;
    private final Handover mHandover;

    /** The run whose answer is passed on, null if there is none. */
    private TargetRun mRun;

    private int mUnsent;
    private boolean mHeadPassed;
    private long mLastEvent;
    private final LostStream mLost = new LostStream();
    private ResultCode mLostBy = ResultCode.TARGET_LOST;
    private CutCause mLeftBy = CutCause.TARGET;

    private Forwarding(
            ForwardRequest request,
            TargetBook book,
            RetryAllowance retries,
            ShutdownAdmission shutdown,
            SuspectRequests suspects) {
        mRequest = request;
        mBook = book;
        mRetries = retries;
        mShutdown = shutdown;
        mSuspects = suspects;
        mHistory = new RunHistory(request.route().maxAttempts());
        mHandover = new Handover(request.route());
        mTimelyEnd = new TimelyEnd(request, book, shutdown);
        mLastEvent = request.lastEvent();
    }

    /**
     * Returns the decisions for a request.
     *
     * @param request what is asked for
     * @param book the targets
     * @param retries bounds second attempts
     * @param shutdown which requests are taken while the instance shuts down
     * @param suspects which requests may crash targets
     */
    public static Forwarding of(
            ForwardRequest request,
            TargetBook book,
            RetryAllowance retries,
            ShutdownAdmission shutdown,
            SuspectRequests suspects) {
        return new Forwarding(request, book, retries, shutdown, suspects);
    }

    /** Returns the first step. */
    public Step start(long now) {
        mRetries.onRequest(mRequest.service(), now);
        return choose(now);
    }

    /** Returns the step after a wait. */
    public Step onWaited(long now) {
        return mHeadPassed ? goOn(mLostBy, now) : choose(now);
    }

    /** Notes that the first byte is about to leave: from now on the request may run. */
    public void onSending() {
        noteSending(mRun);
    }

    /** Returns the step after the target could not be reached; no byte was sent. */
    public Step onUnsent(long now) {
        mBook.onUnreachable(mRun.target(), now);
        mHistory.onUnfit(mRun.target());
        finishRun();
        mUnsent++;
        if (mUnsent < MAX_UNSENT) {
            return choose(now);
        }
        mUnsent = 0;
        return giveUp(ResultCode.NO_TARGET, MAX_UNSENT + " out of reach", now);
    }

    /** Returns the step after the head of an answer; the body of a stream follows. */
    public Step onAnswer(AnswerHead head, long now) {
        if (head.isNotRun()) {
            return onRefusedUnrun(head, now);
        }
        mHistory.onRun(mRun.target());
        if (!head.isGenuine()) {
            mBook.onSpoiled(mRun.target(), now);
            mHistory.onFailed(mRun.target());
            finishRun();
            return sendAgainOr(ResultCode.ANSWER_SPOILED, now);
        }
        if (mHeadPassed && !(head.stream() && head.isSuccess())) {
            // Nothing but events can follow those that were passed on.
            return onBroken(ResultCode.STREAM_BROKEN, now);
        }
        if (head.status() >= 500 && !head.isSuccess()) {
            mBook.onFailure(mRun.target(), now);
            if (mHandover.isAsked() || mayRunAgain(now) && takeRetry(now)) {
                mHistory.onFailed(mRun.target());
                finishRun();
                return follow().orElseGet(() -> choose(now));
            }
            return new Step.PassOn();
        }
        mBook.onSuccess(mRun.target(), now);
        return new Step.PassOn();
    }

    /** Notes that events up to the given one were passed on to the caller. */
    public void onEventPassed(long event) {
        mHeadPassed = true;
        mLost.onEvent();
        mLastEvent = event;
        mTimelyEnd.onEventPassed();
        mRun.onPromptRead();
    }

    /** Returns at how many targets the request runs, has run or may have run. */
    public int runs() {
        return mHistory.targets();
    }

    /** Returns the last event passed on, -1 for none. */
    public long lastEvent() {
        return mLastEvent;
    }

    /** Notes that the target's answer is complete and passed on. */
    public void onComplete() {
        finishAll();
    }

    /** Returns the step after the target's answer broke off, or can't be the one asked for. */
    public Step onBroken(ResultCode why, long now) {
        return onLost(why, CutCause.TARGET, now);
    }

    /** Returns the step after this instance has taken the target for lost. */
    public Step onGivenUp(CutCause cause, long now) {
        if (!mRun.isSent()) {
            return onUnsent(now);
        }
        return onLost(ResultCode.TARGET_LOST, cause, now);
    }

    private Step onLost(ResultCode why, CutCause cause, long now) {
        mLeftBy = cause;
        mBook.onFailure(mRun.target(), now);
        mHistory.onRun(mRun.target());
        mHistory.onFailed(mRun.target());
        finishRun();
        return sendAgainOr(why, now);
    }

    /**
     * Returns where a stream under way may go on since its target waits for its end to load
     * weights; nothing if it stays. Its run is kept until the successor has begun.
     */
    public Optional<Step.Send> onTargetWaits(long now) {
        boolean mayMove =
                mHeadPassed
                        && mHandover.mayMove()
                        && mHistory.mayRunAtAnother()
                        && mRetries.hasRoom(mRequest.service(), MOVE_ATTEMPTS, now);
        return mayMove ? askSuccessor(CutCause.MOVE, now) : Optional.empty();
    }

    /**
     * Returns who else may answer since the target has been silent on this request; nothing if that
     * tells nothing, see {@link #isSilenceTelling}. Its run is kept until the successor has begun.
     */
    public Optional<Step.Send> onSilence(long now) {
        return isSilenceTelling(now) ? askSuccessor(CutCause.SILENCE, now) : Optional.empty();
    }

    /**
     * Returns where a stream under way has to go on now since it won't end before this instance has
     * to; nothing if it stays. Its run is kept until the successor has begun.
     */
    public Optional<Step.Send> onInstanceEnding(long now) {
        if (!mHeadPassed || !mayAskSuccessor(now)) {
            return Optional.empty();
        }
        Optional<Choice> quicker = mTimelyEnd.quicker(mRun.target(), barred(), now);
        Optional<Step.Send> send = askSuccessor(CutCause.SHUTDOWN, quicker, now);
        send.ifPresent(asked -> mTimelyEnd.onAsked(asked.choice().target()));
        return send;
    }

    /** Notes that the first byte is about to leave for the successor. */
    public void onSuccessorSending() {
        noteSending(mHandover.successor());
    }

    /** Notes that the successor could not be reached; the run stays. */
    public void onSuccessorUnsent(long now) {
        mBook.onUnreachable(mHandover.successor().target(), now);
        mHistory.onUnfit(mHandover.successor().target());
        mHandover.drop();
    }

    /** Notes that the successor has refused the request unrun; the run stays. */
    public void onSuccessorRefused(AnswerHead head, long now) {
        String target = mHandover.successor().target();
        noteRefusal(mHandover.successor(), head, now);
        if (mHandover.cause() == CutCause.SHUTDOWN) {
            mTimelyEnd.onRefused(target, now);
        } else {
            mHistory.onUnfit(target);
        }
        mHandover.drop();
    }

    /** Notes that the successor failed, or sent no answer that can follow; the run stays. */
    public void onSuccessorBroken(long now) {
        mBook.onFailure(mHandover.successor().target(), now);
        mHistory.onRun(mHandover.successor().target());
        mHistory.onFailed(mHandover.successor().target());
        mHandover.drop();
    }

    /** Notes that the successor isn't wanted any more: the run goes on, or has ended. */
    public void onSuccessorDropped() {
        if (mHandover.successor().isSent()) {
            mHistory.onRun(mHandover.successor().target());
            mHistory.onLeftAtWork(mHandover.successor().target());
        }
        mHandover.drop();
    }

    /** Returns whether an answer of the successor can take the run's place. */
    public boolean mayFollow(AnswerHead head) {
        return head.isGenuine()
                && (mHeadPassed ? head.stream() && head.isSuccess() : head.status() < 500);
    }

    /** Notes that the successor has begun to answer: it takes the run's place. */
    public void onSuccessorBegun() {
        mLeftBy = mHandover.cause();
        mHistory.onLeftAtWork(mRun.target());
        finishRun();
        follow();
    }

    /** Returns whether events of the run wait for the successor to begin. */
    public boolean holdsEvents() {
        return mHandover.holdsEvents();
    }

    /** Returns how long after the last event that was passed on the next ones may be held. */
    public long holdMillis() {
        return mHandover.holdMillis();
    }

    /** Returns whether an answer is passed on already, so that only its rest may come elsewhere. */
    public boolean isUnderWay() {
        return mHeadPassed;
    }

    /** Returns the step when the request's time is over. */
    public Step onTimeOver(long now) {
        return cutShort(
                ResultCode.ROUTE_TIMEOUT,
                CutCause.TIME,
                new Step.Refuse(ResultCode.DEADLINE_PASSED, 0, "no target in time"));
    }

    /**
     * Returns the step when the caller's key can't be confirmed just as the request was to be sent.
     *
     * @param retryAfterMillis when the caller may try again if nothing has run
     */
    public Step onUnconfirmed(long retryAfterMillis, String why) {
        finishRun();
        return refuse(new Step.Refuse(ResultCode.KEYS_UNCONFIRMED, retryAfterMillis, why));
    }

    /** Returns the step when this instance has to end before the target's answer does. */
    public Step onInstanceEnds() {
        return cutShort(
                ResultCode.CUT_BY_SHUTDOWN,
                CutCause.SHUTDOWN,
                new Step.Refuse(ResultCode.SHUTTING_DOWN, 0, "not sent before the end"));
    }

    private Step cutShort(ResultCode code, CutCause cause, Step.Refuse unsent) {
        boolean sent = mRun != null && mRun.isSent() || mHistory.targets() > 0;
        finishAll();
        if (mHeadPassed) {
            return new Step.Break(code, cause);
        }
        return sent ? new Step.Fail(code) : unsent;
    }

    /** Notes that nothing more is done: the caller went away. */
    public void abandon() {
        finishAll();
    }

    /** Returns for how long the present target may be silent before another one is asked. */
    public long silenceMillis() {
        if (!mRequest.route().mayRunAgain()) {
            return Long.MAX_VALUE;
        }
        long objective = mRequest.route().objectiveMillis();
        long patience = mHeadPassed ? 2 * mRequest.route().pauseMillis() : 2 * objective;
        return Math.max(MIN_SILENCE_MILLIS, patience);
    }

    /**
     * Returns whether another target may be asked since this one has been silent on this request:
     * not while it answers others, since then it is only busy and the prompt would be read once
     * more elsewhere; and not if nobody else could answer, or the request can't be sent again.
     */
    public boolean isSilenceTelling(long now) {
        return !mHandover.isAsked()
                && mRun.isSent()
                && mayRunAgain(now)
                && mRetries.hasRoom(mRequest.service(), 1, now)
                && !mBook.isAlive(mRun.target(), now);
    }

    private Optional<Step.Send> askSuccessor(CutCause cause, long now) {
        return mayAskSuccessor(now)
                ? askSuccessor(cause, mBook.choose(mRequest, barred(), now), now)
                : Optional.empty();
    }

    /** Nothing is at work before the run is sent: it goes elsewhere if it can't be. */
    private boolean mayAskSuccessor(long now) {
        return mRun != null && mRun.isSent() && !mHandover.isAsked() && mayRunAgain(now);
    }

    private Optional<Step.Send> askSuccessor(CutCause cause, Optional<Choice> choice, long now) {
        boolean inTime =
                choice.isPresent()
                        && choice.get().expectedMillis() <= mHandover.expectedWithin(cause);
        if (!inTime || !takeRetry(now)) {
            return Optional.empty();
        }
        mHandover.ask(TargetRun.open(mBook, choice.get(), mRequest, now), cause);
        return Optional.of(new Step.Send(choice.get(), mRequest.answerBy() - now, mLastEvent));
    }

    /** Returns the step by which the successor, if there is one, is the run from now on. */
    private Optional<Step> follow() {
        if (!mHandover.isAsked()) {
            return Optional.empty();
        }
        mRun = mHandover.take();
        return Optional.of(new Step.Follow());
    }

    private Step onRefusedUnrun(AnswerHead head, long now) {
        noteRefusal(mRun, head, now);
        mHistory.onUnfit(mRun.target());
        boolean fromElsewhere = hasTimeLeft(now) && hasOtherTarget(now);
        finishRun();
        Optional<Step> next = follow();
        if (next.isPresent()) {
            return next.get();
        }
        if (mHeadPassed) {
            return goOn(ResultCode.OVERLOADED, now);
        }
        if (fromElsewhere && takeRetry(now)) {
            return choose(now);
        }
        return giveUp(ResultCode.OVERLOADED, "refused by " + mHistory.unfit(), now);
    }

    private void noteSending(TargetRun run) {
        run.onSending(mHistory.onRun(run.target()));
    }

    private void noteRefusal(TargetRun run, AnswerHead head, long now) {
        if (run.isFirstThere()) {
            mHistory.onNotRun(run.target());
        }
        if (head.wrongTarget()) {
            mBook.onWrongTarget(run.target(), now);
        } else {
            mBook.onOverloaded(run.target(), now);
        }
    }

    /** Returns the step after a run has failed. */
    private Step sendAgainOr(ResultCode why, long now) {
        Optional<Step> next = follow();
        if (next.isPresent()) {
            return next.get();
        }
        if (mHeadPassed) {
            return goOn(why, now);
        }
        Step end = new Step.Fail(why);
        if (!mayRunAgain(now) || !takeRetry(now)) {
            return end;
        }
        Step step = choose(now);
        return step instanceof Step.Refuse ? end : step;
    }

    /**
     * Returns the step by which a stream under way that has lost its target goes on. What is
     * wanting may be there in a moment (a second attempt, a target that is loading weights now): it
     * waits for that as long as its caller does.
     */
    private Step goOn(ResultCode why, long now) {
        mLost.onLost(now);
        mLostBy = why;
        Route route = mRequest.route();
        boolean mayGoOn =
                route.mayRunAgain()
                        && route.resumable()
                        && mHistory.mayRunAnywhere()
                        && maySendOn(now)
                        && hasTimeLeft(now);
        if (!mayGoOn) {
            return new Step.Break(mLostBy, mLeftBy);
        }
        if (mLost.mayTry(now) && hasOtherTarget(now) && takeRetry(now)) {
            mLost.onTry(now);
            return choose(now);
        }
        return waitToGoOn(now);
    }

    private Step waitToGoOn(long now) {
        long patience = mRequest.route().callerPatienceMillis();
        OptionalLong next = mLost.nextLook(patience, mRequest.answerBy(), now);
        if (next.isEmpty()) {
            return new Step.Break(mLostBy, mLeftBy);
        }
        if (!hasOtherTarget(now)) {
            mHistory.forgive();
        }
        return new Step.Wait(next.getAsLong());
    }

    private boolean mayRunAgain(long now) {
        boolean mayGoOn = !mHeadPassed || mRequest.route().resumable();
        return mRequest.route().mayRunAgain()
                && mayGoOn
                && maySendOn(now)
                && hasTimeLeft(now)
                && hasOtherTarget(now);
    }

    /** Returns whether the request may be sent to a target, or to one more. */
    private boolean maySendOn(long now) {
        return mSuspects.maySendOn(mRequest.fingerprint(), mHistory.targets(), now);
    }

    private boolean hasTimeLeft(long now) {
        return now + MIN_MILLIS_LEFT < mRequest.answerBy();
    }

    /** Returns whether a target other than the present ones could answer. */
    private boolean hasOtherTarget(long now) {
        return mBook.hasOther(mRequest, barred(), now);
    }

    private Set<String> barred() {
        Set<String> barred = mHistory.barred(mBook.targets());
        if (mRun != null) {
            barred.add(mRun.target());
        }
        if (mHandover.isAsked()) {
            barred.add(mHandover.successor().target());
        }
        return barred;
    }

    private boolean takeRetry(long now) {
        return mRetries.tryTake(mRequest.service(), now);
    }

    private Step choose(long now) {
        long left = mRequest.answerBy() - now;
        if (left <= 0) {
            return giveUp(ResultCode.DEADLINE_PASSED, "no target in time", now);
        }
        if (!maySendOn(now)) {
            return refuse(mSuspects.refusal(mRequest.fingerprint(), now));
        }
        Optional<Choice> choice = mBook.choose(mRequest, barred(), now);
        boolean fresh = !mHeadPassed && mHistory.targets() == 0;
        if (choice.isPresent()
                && fresh
                && !Admission.admits(mRequest, choice.get().admissionMillis())) {
            return giveUp(ResultCode.OVERLOADED, Admission.whyRefused(mRequest, choice.get()), now);
        }
        if (choice.isPresent()
                && fresh
                && !mShutdown.admits(mRequest, choice.get().expectedMillis(), now)) {
            return mShutdown.refusal(now);
        }
        if (choice.isPresent()) {
            mRun = TargetRun.open(mBook, choice.get(), mRequest, now);
            return new Step.Send(choice.get(), left, mLastEvent);
        }
        long waitUntil = mRequest.arrivedAt() + mRequest.route().objectiveMillis() / WAIT_DIVISOR;
        if (!mHeadPassed && now + WAIT_STEP_MILLIS < Math.min(waitUntil, mRequest.answerBy())) {
            mHistory.forgive();
            return new Step.Wait(now + WAIT_STEP_MILLIS);
        }
        return giveUp(ResultCode.NO_TARGET, "none but " + mHistory.unfit(), now);
    }

    private Step giveUp(ResultCode code, String why, long now) {
        return mHeadPassed
                ? goOn(code, now)
                : refuse(new Step.Refuse(code, mBook.retryAfterMillis(mRequest, now), why));
    }

    private Step refuse(Step.Refuse unrun) {
        if (mHeadPassed) {
            return new Step.Break(unrun.code(), mLeftBy);
        }
        return mHistory.targets() > 0 ? new Step.Fail(ResultCode.TARGET_LOST) : unrun;
    }

    private void finishAll() {
        finishRun();
        mHandover.end();
    }

    private void finishRun() {
        if (mRun != null) {
            mRun.finish();
        }
        mRun = null;
    }
}
