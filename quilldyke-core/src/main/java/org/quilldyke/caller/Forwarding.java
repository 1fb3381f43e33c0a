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

import java.util.HashSet;
import java.util.Optional;
import java.util.Set;
import org.quilldyke.ResultCode;
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
 */
public final class Forwarding {
    /** A request that can't be sent anywhere waits for a part of its objective at most. */
    private static final int WAIT_DIVISOR = 5;

    private static final long WAIT_STEP_MILLIS = 20;

    /** How often a request may fail to reach a target before its caller is told. */
    private static final int MAX_UNSENT = 5;

    /** A target may be silent for this long before it is given up, whatever the objective. */
    private static final long MIN_SILENCE_MILLIS = 800;

    /**
     * A stream that runs is moved only if this many second attempts are left: its new target may
     * begin to load weights too, and refuse it unrun, and without an attempt left it is cut then.
     */
    private static final int MOVE_ATTEMPTS = 3;

    /** A second attempt with less time than this is pointless. */
    private static final long MIN_MILLIS_LEFT = 30;

    private final ForwardRequest mRequest;
    private final TargetBook mBook;
    private final RetryAllowance mRetries;
    private final ShutdownAdmission mShutdown;
    private final Set<String> mExcluded = new HashSet<>();
    private Choice mChoice;
    private boolean mOpen;
    private boolean mSent;
    private boolean mRunCounted;
    private boolean mPromptRead;
    private int mUnsent;
    private int mMayHaveRun;
    private boolean mHeadPassed;
    private long mLastEvent;
    private CutCause mLeftBy = CutCause.TARGET;

    private Forwarding(
            ForwardRequest request,
            TargetBook book,
            RetryAllowance retries,
            ShutdownAdmission shutdown) {
        mRequest = request;
        mBook = book;
        mRetries = retries;
        mShutdown = shutdown;
        mLastEvent = request.lastEvent();
    }

    /**
     * Returns the decisions for a request.
     *
     * @param request what is asked for
     * @param book the targets
     * @param retries bounds second attempts
     * @param shutdown which requests are taken while the instance shuts down
     */
    public static Forwarding of(
            ForwardRequest request,
            TargetBook book,
            RetryAllowance retries,
            ShutdownAdmission shutdown) {
        return new Forwarding(request, book, retries, shutdown);
    }

    /** Returns the first step. */
    public Step start(long now) {
        mRetries.onRequest(mRequest.service(), now);
        return choose(now);
    }

    /** Returns the step after a wait. */
    public Step onWaited(long now) {
        return choose(now);
    }

    /** Notes that the first byte is about to leave: from now on the request may run. */
    public void onSending() {
        mSent = true;
    }

    /** Returns the step after the target could not be reached; no byte was sent. */
    public Step onUnsent(long now) {
        mBook.onUnreachable(mChoice.target(), now);
        finishAttempt();
        mUnsent++;
        mExcluded.add(mChoice.target());
        return mUnsent >= MAX_UNSENT
                ? giveUp(ResultCode.NO_TARGET, mUnsent + " out of reach", now)
                : choose(now);
    }

    /** Returns the step after the head of an answer; the body of a stream follows. */
    public Step onAnswer(AnswerHead head, long now) {
        if (head.isNotRun()) {
            return onRefusedUnrun(head, now);
        }
        countRun();
        if (!head.isGenuine()) {
            mBook.onSpoiled(mChoice.target(), now);
            finishAttempt();
            return sendAgainOr(endOf(ResultCode.ANSWER_SPOILED), now);
        }
        if (mHeadPassed && !(head.stream() && head.isSuccess())) {
            // Nothing but events can follow those that were passed on.
            return onBroken(ResultCode.STREAM_BROKEN, now);
        }
        if (head.status() >= 500 && !head.isSuccess()) {
            mBook.onFailure(mChoice.target(), now);
            if (mayRunAgain(now) && takeRetry(now)) {
                finishAttempt();
                mExcluded.add(mChoice.target());
                return choose(now);
            }
            return new Step.PassOn();
        }
        mBook.onSuccess(mChoice.target(), now);
        return new Step.PassOn();
    }

    /** Notes that events up to the given one were passed on to the caller. */
    public void onEventPassed(long event) {
        mHeadPassed = true;
        mLastEvent = event;
        onPromptRead();
    }

    /** Returns at how many targets the request runs, has run or may have run. */
    public int runs() {
        return mMayHaveRun + (mOpen && !mRunCounted ? 1 : 0);
    }

    /** Returns the last event passed on, -1 for none. */
    public long lastEvent() {
        return mLastEvent;
    }

    /** Notes that the target's answer is complete and passed on. */
    public void onComplete() {
        finishAttempt();
    }

    /** Returns the step after the target's answer broke off, or can't be the one asked for. */
    public Step onBroken(ResultCode why, long now) {
        return onLost(why, CutCause.TARGET, now);
    }

    /** Returns the step after this instance has taken the target for lost. */
    public Step onGivenUp(CutCause cause, long now) {
        return onLost(ResultCode.TARGET_LOST, cause, now);
    }

    private Step onLost(ResultCode why, CutCause cause, long now) {
        mLeftBy = cause;
        mBook.onFailure(mChoice.target(), now);
        countRun();
        finishAttempt();
        return sendAgainOr(endOf(why), now);
    }

    /**
     * Returns the step by which a stream under way goes on elsewhere because its target waits for
     * its end to load weights; nothing if it stays. The present attempt is over then.
     */
    public Optional<Step> onTargetWaits(long now) {
        boolean underWay = mOpen && mHeadPassed;
        boolean mayMove =
                underWay
                        && mayRunAgain(now)
                        && mRetries.hasRoom(mRequest.service(), MOVE_ATTEMPTS, now);
        if (!mayMove || !takeRetry(now)) {
            return Optional.empty();
        }
        mLeftBy = CutCause.MOVE;
        finishAttempt();
        mExcluded.add(mChoice.target());
        return Optional.of(choose(now));
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
        finishAttempt();
        return giveUp(ResultCode.KEYS_UNCONFIRMED, retryAfterMillis, why);
    }

    /** Returns the step when this instance has to end before the target's answer does. */
    public Step onInstanceEnds() {
        return cutShort(
                ResultCode.CUT_BY_SHUTDOWN,
                CutCause.SHUTDOWN,
                new Step.Refuse(ResultCode.SHUTTING_DOWN, 0, "not sent before the end"));
    }

    private Step cutShort(ResultCode code, CutCause cause, Step.Refuse unsent) {
        boolean sent = mSent;
        finishAttempt();
        if (mHeadPassed) {
            return new Step.Break(code, cause);
        }
        return sent || mMayHaveRun > 0 ? new Step.Fail(code) : unsent;
    }

    /** Notes that nothing more is done: the caller went away. */
    public void abandon() {
        finishAttempt();
    }

    /** Returns for how long the present target may be silent before it is given up. */
    public long silenceMillis() {
        if (!mRequest.route().mayRunAgain()) {
            return Long.MAX_VALUE;
        }
        long objective = mRequest.route().objectiveMillis();
        long patience = mHeadPassed ? 2 * mRequest.route().pauseMillis() : 2 * objective;
        return Math.max(MIN_SILENCE_MILLIS, patience);
    }

    /**
     * Returns whether a target that has been silent on this request may be given up: not while it
     * answers others, since then it is only busy and would read the prompt once more elsewhere; and
     * not if nobody else could answer, or the request can't be sent again, since then waiting is
     * all that is left.
     */
    public boolean isSilenceTelling(long now) {
        int runs = mMayHaveRun + (mRunCounted ? 0 : 1);
        return mayRunAgain(runs, now)
                && mRetries.hasRoom(mRequest.service(), 1, now)
                && !mBook.isAlive(mChoice.target(), now);
    }

    private Step onRefusedUnrun(AnswerHead head, long now) {
        if (head.wrongTarget()) {
            mBook.onWrongTarget(mChoice.target(), now);
        } else {
            mBook.onOverloaded(mChoice.target(), now);
        }
        finishAttempt();
        mExcluded.add(mChoice.target());

        if (hasTimeLeft(now) && hasOtherTarget(now) && takeRetry(now)) {
            return choose(now);
        }
        return giveUp(ResultCode.OVERLOADED, "refused by " + mExcluded, now);
    }

    /** Returns the end of a request that has run, or may have. */
    private Step endOf(ResultCode why) {
        return mHeadPassed ? new Step.Break(why, mLeftBy) : new Step.Fail(why);
    }

    private Step sendAgainOr(Step end, long now) {
        mExcluded.add(mChoice.target());
        if (!mayRunAgain(now) || !takeRetry(now)) {
            return end;
        }
        Step next = choose(now);
        return next instanceof Step.Refuse ? end : next;
    }

    private boolean mayRunAgain(long now) {
        return mayRunAgain(mMayHaveRun, now);
    }

    private boolean mayRunAgain(int runs, long now) {
        boolean mayGoOn = !mHeadPassed || mRequest.route().resumable();
        return mRequest.route().mayRunAgain()
                && mayGoOn
                && runs < mRequest.route().maxAttempts()
                && hasTimeLeft(now)
                && hasOtherTarget(now);
    }

    private boolean hasTimeLeft(long now) {
        return now + MIN_MILLIS_LEFT < mRequest.answerBy();
    }

    /** Returns whether a target other than the present one and those tried before could answer. */
    private boolean hasOtherTarget(long now) {
        Set<String> tried = new HashSet<>(mExcluded);
        tried.add(mChoice.target());
        return mBook.hasOther(mRequest, tried, now);
    }

    private boolean takeRetry(long now) {
        return mRetries.tryTake(mRequest.service(), now);
    }

    private Step choose(long now) {
        long left = mRequest.answerBy() - now;
        if (left <= 0) {
            return giveUp(ResultCode.DEADLINE_PASSED, "no target in time", now);
        }
        Optional<Choice> choice = mBook.choose(mRequest, mExcluded, now);
        boolean fresh = mMayHaveRun == 0;
        if (choice.isPresent()
                && fresh
                && !Admission.admits(mRequest, choice.get().admissionMillis())) {
            Choice best = choice.get();
            String why =
                    "best "
                            + best.target()
                            + " in "
                            + best.expectedMillis()
                            + " ms, counted as "
                            + best.admissionMillis()
                            + ", objective "
                            + mRequest.route().objectiveMillis();
            return giveUp(ResultCode.OVERLOADED, why, now);
        }
        if (choice.isPresent()
                && fresh
                && !mShutdown.admits(mRequest, choice.get().expectedMillis(), now)) {
            return mShutdown.refusal(now);
        }
        if (choice.isPresent()) {
            mChoice = choice.get();
            mOpen = true;
            mRunCounted = false;
            mPromptRead = false;
            mBook.onChosen(mChoice, mRequest, now);
            return new Step.Send(mChoice, left, mLastEvent);
        }
        long waitUntil = mRequest.arrivedAt() + mRequest.route().objectiveMillis() / WAIT_DIVISOR;
        if (now + WAIT_STEP_MILLIS < Math.min(waitUntil, mRequest.answerBy())) {
            mExcluded.clear();
            return new Step.Wait(now + WAIT_STEP_MILLIS);
        }
        return giveUp(ResultCode.NO_TARGET, "none but " + mExcluded, now);
    }

    private Step giveUp(ResultCode code, String why, long now) {
        return giveUp(code, mBook.retryAfterMillis(mRequest, now), why);
    }

    private Step giveUp(ResultCode code, long retryAfterMillis, String why) {
        if (mHeadPassed) {
            return new Step.Break(code, mLeftBy);
        }
        if (mMayHaveRun > 0) {
            return new Step.Fail(ResultCode.TARGET_LOST);
        }
        return new Step.Refuse(code, retryAfterMillis, why);
    }

    private void onPromptRead() {
        if (!mPromptRead) {
            mPromptRead = true;
            mBook.onPromptRead(mChoice);
        }
    }

    private void countRun() {
        if (!mRunCounted) {
            mRunCounted = true;
            mMayHaveRun++;
        }
    }

    private void finishAttempt() {
        if (mOpen) {
            onPromptRead();
            mBook.onFinished(mChoice);
        }
        mOpen = false;
        mSent = false;
    }
}
