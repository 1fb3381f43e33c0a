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

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.function.Predicate;
import org.quilldyke.ResultCode;
import org.quilldyke.engine.TargetReport;
import org.quilldyke.manifest.RequestKind;
import org.quilldyke.manifest.Route;
import org.quilldyke.routing.TargetBook;
import org.quilldyke.routing.TargetState;

/**
 * One request that is driven by chance, as an entry drives it, among targets that come and go; what
 * the targets would have seen is counted here, and held against what was promised.
 */
final class ForwardingWalk {
    private static final AnswerHead OK = new AnswerHead(200, false, false, true, false);
    private static final AnswerHead STREAM = new AnswerHead(200, false, false, true, true);
    private static final AnswerHead SHED = new AnswerHead(503, true, false, false, false);
    private static final AnswerHead MISDIRECTED = new AnswerHead(421, false, true, false, false);
    private static final AnswerHead FAILED = new AnswerHead(500, false, false, true, false);
    private static final AnswerHead UNSIGNED = new AnswerHead(200, false, false, false, false);
    private static final AnswerHead UNSIGNED_STREAM =
            new AnswerHead(200, false, false, false, true);

    private static final int MAX_STEPS = 400;
    private static final int PLENTY = 1000;
    private static final int ENOUGH_MILLIS = 700;

    private final StringBuilder mTold = new StringBuilder();
    private final SplittableRandom mRandom;
    private final TargetBook mBook;
    private final RetryAllowance mRetries;
    private final ShutdownAdmission mShutdown = ShutdownAdmission.create();
    private final RequestKind mKind;
    private final Route mRoute;
    private final Forwarding mForwarding;
    private final double mRetriesAtFirst;

    private final Set<String> mMayHaveRun = new HashSet<>();
    private final Set<String> mLeftAtWork = new HashSet<>();
    private int mRuns;
    private int mArrivals;
    private int mTakenByOthers;
    private Run mRun;
    private Run mSuccessor;
    private final List<Long> mHeld = new ArrayList<>();
    private long mWaitsUntil;
    private boolean mWaits;
    private long mPassed = -1;
    private boolean mBegun;
    private long mNow;
    private long mLostAt;
    private boolean mLost;
    private int mTargets;
    private boolean mHurried;
    private String mEnd = "";

    ForwardingWalk(long seed) {
        mRandom = new SplittableRandom(seed);
        mBook = TargetBook.create("z", 7500, new SplittableRandom(seed));
        mRetries = RetryAllowance.create(0, mRandom.nextBoolean() ? 6 : 2 * PLENTY, 1_000_000, 1);
        mRetriesAtFirst = mRetries.left("s", 0);
        int targets = 1 + mRandom.nextInt(5);
        for (int i = 0; i < targets; i++) {
            addTarget();
        }
        mKind = RequestKind.values()[mRandom.nextInt(RequestKind.values().length)];
        long millis = mRandom.nextBoolean() ? 2000 : 20_000;
        boolean resumable = mKind == RequestKind.STREAMING && mRandom.nextInt(4) > 0;
        List<Route.Share> shares = List.of(new Route.Share("s", 1));
        int attempts = 1 + mRandom.nextInt(3);
        mRoute =
                new Route(
                        "r", "h", "/", mKind, millis, 500, 500, 1, shares, attempts, false, false,
                        resumable);
        Prompt prompt = new Prompt("m", 900, 100, List.of(new Prompt.Part(7, 900)));
        ForwardRequest request =
                new ForwardRequest(
                        "id",
                        mRoute,
                        "s",
                        Optional.empty(),
                        "",
                        Optional.of(prompt),
                        0,
                        0,
                        millis,
                        new RequestFingerprint(1, 1),
                        -1);
        mForwarding = Forwarding.of(request, mBook, mRetries, mShutdown, SuspectRequests.create());
    }

    /** Plays to the end, and returns what it was. */
    String play() {
        tell("kind " + mKind + " attempts " + mRoute.maxAttempts());
        perform(mForwarding.start(mNow));
        for (int i = 0; i < MAX_STEPS && mEnd.isEmpty(); i++) {
            mNow += mRandom.nextInt(5) == 0 ? mRandom.nextInt(900) : mRandom.nextInt(30);
            if (mNow >= mRoute.timeoutMillis()) {
                mNow = mRoute.timeoutMillis();
                tell("time over");
                endAs(mForwarding.onTimeOver(mNow), CutCause.TIME);
            } else if (mRandom.nextInt(12) == 0) {
                meddle();
            } else {
                step();
            }
            check();
        }
        if (mEnd.isEmpty()) {
            tell("caller gone");
            mForwarding.abandon();
            close("caller gone");
            check();
        }
        return mEnd;
    }

    /** Returns whether another target was asked since the instance is ending. */
    boolean wasHurried() {
        return mHurried;
    }

    /** Returns what has happened, one event a line. */
    String told() {
        return mTold.toString();
    }

    /** Something that isn't of the request itself. */
    private void meddle() {
        int what = mRandom.nextInt(8);
        if (what == 0) {
            addTarget();
        } else if (what == 1) {
            int at = mRandom.nextInt(mTargets);
            tell("gone t" + at);
            mBook.onGone("t" + at);
        } else if (what == 2) {
            mBook.onLoading("t" + mRandom.nextInt(mTargets), mRandom.nextBoolean(), mNow);
        } else if (what == 3) {
            mBook.onHeard("t" + mRandom.nextInt(mTargets), mNow);
        } else if (what == 4) {
            mTakenByOthers += mRetries.tryTake("s", mNow) ? 1 : 0;
        } else if (what == 5 && mRandom.nextInt(6) == 0) {
            tell("instance ends");
            endAs(mForwarding.onInstanceEnds(), CutCause.SHUTDOWN);
        } else if (what == 6 && mRandom.nextInt(6) == 0) {
            tell("caller gone");
            mForwarding.abandon();
            close("caller gone");
        } else if (what == 7 && mRandom.nextInt(6) == 0) {
            mShutdown.onShutdown(mNow + 3000);
        }
    }

    private void step() {
        if (mWaits) {
            mNow = Math.min(Math.max(mNow, mWaitsUntil), mRoute.timeoutMillis() - 1);
            mWaits = false;
            perform(mForwarding.onWaited(mNow));
        } else if (mSuccessor != null && mRandom.nextBoolean()) {
            stepOfSuccessor();
        } else {
            stepOfRun();
        }
    }

    private void stepOfRun() {
        int what = mRandom.nextInt(8);
        if (mRandom.nextInt(8) == 0) {
            mBook.onEvent(mRun.mTarget, 1 + mRandom.nextInt(100), mNow);
            tell("instance is ending");
            Optional<Step.Send> send = mForwarding.onInstanceEnding(mNow);
            mHurried |= send.isPresent();
            ask(send);
        } else if (what == 0) {
            tell("silent");
            ask(mForwarding.onSilence(mNow));
        } else if (what == 1) {
            tell("waits to load");
            ask(mForwarding.onTargetWaits(mNow));
        } else if (what == 2 && mRandom.nextInt(3) == 0) {
            tell("given up by control");
            if (mRun.mSent) {
                mLeftAtWork.remove(mRun.mTarget);
            }
            mRun = null;
            perform(mForwarding.onGivenUp(CutCause.CONTROL, mNow));
        } else if (!mRun.mSent) {
            if (mRandom.nextInt(3) == 0) {
                tell("unsent");
                mRun = null;
                perform(mForwarding.onUnsent(mNow));
            } else {
                tell("sending");
                onArrival(mRun);
                mForwarding.onSending();
            }
        } else if (!mRun.mStreams) {
            onHead(anyHead());
        } else if (what < 6) {
            onEvent(++mRun.mMade);
        } else if (what == 6) {
            onStreamEnd();
        } else {
            onBroken();
        }
    }

    private void onHead(AnswerHead head) {
        tell("answers " + head);
        if (head.isNotRun()) {
            onRefusal(mRun);
            mRun = null;
            perform(mForwarding.onAnswer(head, mNow));
            return;
        }
        if (mRandom.nextInt(5) == 0) {
            onBroken();
            return;
        }
        Step step = mForwarding.onAnswer(head, mNow);
        if (!(step instanceof Step.PassOn)) {
            mLeftAtWork.remove(mRun.mTarget);
            mRun = null;
            perform(step);
        } else if (head.stream()) {
            mRun.mStreams = true;
            dropSuccessor();
        } else {
            assertWithMessage("a plain answer in a stream").that(mBegun).isFalse();
            mForwarding.onComplete();
            close("whole");
        }
    }

    private void onEvent(long event) {
        if (mForwarding.holdsEvents()) {
            mHeld.add(event);
        } else {
            dropSuccessor();
            pass(event);
        }
    }

    private void onStreamEnd() {
        tell("stream ends");
        dropSuccessor();
        passHeld();
        mForwarding.onComplete();
        close("whole");
    }

    private void onBroken() {
        tell("breaks off");
        mLeftAtWork.remove(mRun.mTarget);
        mRun = null;
        perform(mForwarding.onBroken(ResultCode.TARGET_LOST, mNow));
    }

    private void stepOfSuccessor() {
        int what = mRandom.nextInt(6);
        if (what == 0) {
            tell("successor isn't wanted");
            dropSuccessor();
            passHeld();
        } else if (!mSuccessor.mSent) {
            if (what == 1) {
                tell("successor unsent");
                mForwarding.onSuccessorUnsent(mNow);
                stay();
            } else {
                tell("successor sending");
                onArrival(mSuccessor);
                mForwarding.onSuccessorSending();
            }
        } else {
            onSuccessorHead(anyHead());
        }
    }

    private void onSuccessorHead(AnswerHead head) {
        tell("successor answers " + head);
        if (head.isNotRun()) {
            onRefusal(mSuccessor);
            mForwarding.onSuccessorRefused(head, mNow);
            stay();
        } else if (mRandom.nextInt(5) == 0 || !mForwarding.mayFollow(head)) {
            tell("it can't follow");
            mLeftAtWork.remove(mSuccessor.mTarget);
            mForwarding.onSuccessorBroken(mNow);
            stay();
        } else {
            mForwarding.onSuccessorBegun();
            mLeftAtWork.add(mRun.mTarget);
            follow();
            onHeadOfFollower(head);
        }
    }

    private void onHeadOfFollower(AnswerHead head) {
        Step step = mForwarding.onAnswer(head, mNow);
        assertWithMessage("what took over is passed on").that(step).isEqualTo(new Step.PassOn());
        if (head.stream()) {
            mRun.mStreams = true;
        } else {
            mForwarding.onComplete();
            close("whole");
        }
    }

    private AnswerHead anyHead() {
        int what = mRandom.nextInt(12);
        return switch (what) {
            case 0 -> SHED;
            case 1 -> MISDIRECTED;
            case 2 -> FAILED;
            case 3 -> UNSIGNED;
            case 4 -> UNSIGNED_STREAM;
            case 5 -> OK;
            default -> mKind == RequestKind.STREAMING ? STREAM : OK;
        };
    }

    private void perform(Step step) {
        tell("-> " + step);
        if (!mLost && !(step instanceof Step.Follow)) {
            mLost = true;
            mLostAt = mNow;
        }
        if (step instanceof Step.Send send) {
            assertWithMessage("one run at a time").that(mRun).isNull();
            mRun = new Run(send.choice().target(), send.lastEvent());
            assertThat(send.lastEvent()).isEqualTo(mPassed);
        } else if (step instanceof Step.Wait wait) {
            assertThat(wait.until()).isGreaterThan(mNow);
            assertWithMessage("waits with a successor at work").that(mSuccessor).isNull();
            mWaits = true;
            mWaitsUntil = wait.until();
        } else if (step instanceof Step.Follow) {
            follow();
        } else {
            assertWithMessage("ends with a run at work").that(mRun).isNull();
            assertWithMessage("ends with a successor at work").that(mSuccessor).isNull();
            endAs(step, null);
        }
    }

    /** Ends by a step; {@code due} is why it is cut, null if it must be its last target's doing. */
    private void endAs(Step step, CutCause due) {
        tell("=> " + step);
        if (step instanceof Step.Break cut) {
            assertThat(mBegun).isTrue();
            Set<CutCause> causes =
                    due == null ? Set.of(CutCause.TARGET, CutCause.CONTROL) : Set.of(due);
            assertThat(cut.cause()).isIn(causes);
            assertWithMessage("cut though it may go on").that(due == null && mayGoOn()).isFalse();
            close("cut");
        } else if (step instanceof Step.Fail) {
            assertThat(mBegun).isFalse();
            assertWithMessage("it was sent").that(mArrivals).isGreaterThan(0);
            close("failed");
        } else {
            assertThat(step).isInstanceOf(Step.Refuse.class);
            assertThat(mBegun).isFalse();
            assertWithMessage("refused though it may have run").that(mRuns).isEqualTo(0);
            close("refused");
        }
    }

    /** Returns whether any target may run it on, and its caller still waits for events. */
    private boolean mayGoOn() {
        return mRoute.mayRunAgain()
                && mRoute.resumable()
                && (mMayHaveRun.size() < mRoute.maxAttempts() || !mLeftAtWork.isEmpty())
                && mNow + ENOUGH_MILLIS < mRoute.timeoutMillis()
                && mNow + ENOUGH_MILLIS < mLostAt + mRoute.callerPatienceMillis();
    }

    private void ask(Optional<Step.Send> send) {
        if (send.isPresent()) {
            tell("asks " + send.get());
            assertWithMessage("one successor at a time").that(mSuccessor).isNull();
            assertThat(send.get().choice().target()).isNotEqualTo(mRun.mTarget);
            assertThat(send.get().lastEvent()).isEqualTo(mPassed);
            mSuccessor = new Run(send.get().choice().target(), send.get().lastEvent());
        }
    }

    private void follow() {
        mRun = mSuccessor;
        mSuccessor = null;
        mHeld.clear();
    }

    private void stay() {
        mSuccessor = null;
        passHeld();
    }

    private void dropSuccessor() {
        if (mSuccessor != null) {
            mForwarding.onSuccessorDropped();
            if (mSuccessor.mSent) {
                mLeftAtWork.add(mSuccessor.mTarget);
            }
            mSuccessor = null;
        }
    }

    private void passHeld() {
        mHeld.forEach(this::pass);
        mHeld.clear();
    }

    private void pass(long event) {
        assertWithMessage("the next event").that(event).isEqualTo(mPassed + 1);
        mPassed = event;
        mLost = false;
        mBegun = true;
        mForwarding.onEventPassed(event);
        assertThat(mForwarding.lastEvent()).isEqualTo(event);
    }

    private void onArrival(Run run) {
        run.mSent = true;
        run.mRanBefore = !mMayHaveRun.add(run.mTarget);
        mRuns++;
        mArrivals++;
    }

    private void onRefusal(Run run) {
        if (!run.mRanBefore) {
            mMayHaveRun.remove(run.mTarget);
        }
        mRuns--;
    }

    private void close(String end) {
        mEnd = end;
        mRun = null;
        mSuccessor = null;
    }

    private void check() {
        assertWithMessage("targets that run it")
                .that(mMayHaveRun.size())
                .isAtMost(mRoute.maxAttempts());
        if (!mRoute.mayRunAgain()) {
            assertWithMessage("runs").that(mRuns).isAtMost(1);
        }
        double taken = mRetriesAtFirst - mRetries.left("s", mNow) - mTakenByOthers;
        assertWithMessage("second arrivals").that(mArrivals - 1.0).isAtMost(taken + 0.001);
        for (TargetState state : mBook.targets()) {
            Predicate<Run> isThere = run -> run != null && run.mTarget.equals(state.id());
            int open = (isThere.test(mRun) ? 1 : 0) + (isThere.test(mSuccessor) ? 1 : 0);
            assertWithMessage("open at " + state.id()).that(state.ownRequests()).isEqualTo(open);
            if (open == 0) {
                assertThat(state.ownTokens()).isEqualTo(0);
            }
        }
    }

    private void addTarget() {
        String id = "t" + mTargets++;
        mBook.onReport(
                new TargetReport(id, "s", id + ":1", "z", "v1", 4, false, 0, Map.of("m", 1L), 1));
    }

    private void tell(String what) {
        mTold.append(mNow).append(' ').append(what).append('\n');
    }

    /** One sending, as its target sees it. */
    private static final class Run {
        final String mTarget;
        long mMade;
        boolean mSent;
        boolean mStreams;
        boolean mRanBefore;

        Run(String target, long lastEvent) {
            mTarget = target;
            mMade = lastEvent;
        }
    }
}
