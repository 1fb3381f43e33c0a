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
package org.quilldyke.testkit.check;

import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.TreeMap;
import org.quilldyke.QuilldykeException;
import org.quilldyke.ResultCode;
import org.quilldyke.control.Claim;
import org.quilldyke.control.Command;
import org.quilldyke.control.CommandResult;
import org.quilldyke.control.Configuration;
import org.quilldyke.control.ControlState;
import org.quilldyke.control.Intent;

/**
 * The real {@link ControlState} on each replica, fed with racing and resent commands.
 *
 * <p>Checks equal results everywhere, one winner a number, one run a claim, versions that never
 * fall, and fencing numbers that rise.
 */
final class ControlModel {
    private static final int NUMBERS = 40;
    private static final int KEYS = 60;
    private static final long ROLL_OUT_MILLIS = 2000;
    private static final long KEEP_MILLIS = 1_000_000_000L;

    private final Random mRandom;
    private final CheckReport mReport;
    private final Breaks mBreak;
    private final List<Command> mCommands = new ArrayList<>();
    private final List<ControlState.Snapshot> mSnapshots = new ArrayList<>();
    private final Map<String, ControlState> mStates = new HashMap<>();
    private final Map<String, Long> mVersions = new HashMap<>();
    private final Map<Long, CommandResult> mResults = new HashMap<>();
    private final Map<String, String> mWinners = new HashMap<>();
    private final Map<String, String> mRuns = new HashMap<>();
    private final Map<String, Long> mProposed = new HashMap<>();
    private final Map<String, Long> mFencing = new HashMap<>();

    ControlModel(Random random, CheckReport report, Breaks broken) {
        mRandom = random;
        mReport = report;
        mBreak = broken;
    }

    /** Returns the number of a new command, drawn so that operators and callers race and resend. */
    long nextCommand(long now) {
        mCommands.add(draw(now));
        return mCommands.size() - 1;
    }

    void onProposed(String replica, long index, long command) {
        if (mBreak == Breaks.RUN_BEFORE_CLAIM
                && mCommands.get((int) command) instanceof Command.ClaimRun c) {
            run(c.key(), c.requestId());
        }
        mProposed.put(replica + "@" + index, command);
    }

    void onStarted(String replica, long index, byte[] snapshot) {
        ControlState state =
                snapshot.length == 0
                        ? ControlState.create()
                        : ControlState.restore(mSnapshots.get(ByteBuffer.wrap(snapshot).getInt()));
        mStates.put(replica, state);
    }

    byte[] snapshotOf(String replica) {
        ControlState.Snapshot s = mStates.get(replica).snapshot();
        mSnapshots.add(
                switch (mBreak) {
                    case FORGET_CLAIMS ->
                            new ControlState.Snapshot(
                                    s.configuration(),
                                    s.plans(),
                                    s.endedPlans(),
                                    new TreeMap<>(),
                                    s.lastAt());
                    case FORGET_PLANS ->
                            new ControlState.Snapshot(
                                    s.configuration(),
                                    new TreeMap<>(),
                                    List.of(),
                                    s.claims(),
                                    s.lastAt());
                    case FORGET_CONFIGURATION ->
                            new ControlState.Snapshot(
                                    Configuration.empty(),
                                    s.plans(),
                                    s.endedPlans(),
                                    s.claims(),
                                    s.lastAt());
                    default -> s;
                });
        byte[] id = new byte[64 + mRandom.nextInt(200)];
        ByteBuffer.wrap(id).putInt(mSnapshots.size() - 1);
        return id;
    }

    void onApply(String replica, long index, long command) throws QuilldykeException {
        ControlState state = mStates.get(replica);
        Command c = mCommands.get((int) command);
        if (mBreak == Breaks.SKIP_COMMAND && replica.equals("r0") && index % 100 == 0) {
            return;
        }
        CommandResult result = state.apply(index, c);
        CommandResult known = mResults.putIfAbsent(index, result);
        mReport.check(
                known == null || known.equals(result),
                "equal results everywhere",
                replica + " " + index + " " + known + " and " + result);
        checkVersion(replica, index, state.configuration().version());
        if (known == null) {
            checkFirst(index, c, result);
        }
    }

    private void checkVersion(String replica, long index, long version) {
        // A version belongs to an index: the same on every replica, whatever it went through.
        Long known = mVersions.putIfAbsent("@" + index, version);
        mReport.check(
                known == null || known == version,
                "versions never fall",
                replica + " " + index + " " + known + " then " + version);
        long before = mVersions.getOrDefault("@" + (index - 1), 0L);
        mReport.check(version >= before, "versions rise with the log", "" + index);
    }

    private void checkFirst(long index, Command c, CommandResult result) {
        if (c instanceof Command.StateIntent s && result.plan() != null) {
            String winner = mWinners.putIfAbsent(s.number(), result.plan().intentId());
            mReport.check(
                    winner == null || winner.equals(result.plan().intentId()),
                    "one winner a number",
                    s.number());
            boolean won = result.plan().intentId().equals(s.intentId());
            mReport.check(
                    result.code() == (won ? ResultCode.OK : ResultCode.PLAN_CONFLICT),
                    "a loser hears who won",
                    s.number());
        } else if (c instanceof Command.ClaimRun s
                && result.isOk()
                && result.claim().state() == Claim.State.CLAIMED) {
            run(s.key(), s.requestId());
        } else if (c instanceof Command.ReleaseClaim s) {
            mRuns.remove(s.key(), s.requestId());
        } else if (c instanceof Command.RecordOrder s && result.isOk()) {
            long fencing = result.plan().orders().get(s.target()).fencing();
            long sent = mBreak == Breaks.RESTART_FENCING ? fencing % 50 : fencing;
            long before = mFencing.getOrDefault(s.target(), 0L);
            mFencing.put(s.target(), sent);
            mReport.check(sent >= before, "fencing numbers rise", s.target());
        }
    }

    private void run(String key, String request) {
        String known = mRuns.putIfAbsent(key, request);
        mReport.check(known == null || known.equals(request), "one run a claim", key);
    }

    private Command draw(long now) {
        String number = "n" + mRandom.nextInt(NUMBERS) + "-" + now / 3000;
        String rollOut = "m" + now / ROLL_OUT_MILLIS;
        String key = "k" + mRandom.nextInt(KEYS) + "-" + now / 5000;
        String request = "q" + mRandom.nextInt(4);
        switch (mRandom.nextInt(10)) {
            case 0, 1:
                return new Command.StateIntent(
                        number,
                        "by-" + mRandom.nextInt(3),
                        "op",
                        new Intent.SetRetired("t" + mRandom.nextInt(5), mRandom.nextBoolean()),
                        4,
                        now);
            case 2:
                return new Command.StateIntent(
                        rollOut,
                        "roll-out",
                        "op",
                        new Intent.PutModel("m", "s", "w" + now / ROLL_OUT_MILLIS),
                        4,
                        now);
            case 3:
                return new Command.ConfirmPlan(number, now);
            case 4:
                return new Command.ConfirmPlan(rollOut, now);
            case 5:
                return new Command.RecordOrder(rollOut, "t" + mRandom.nextInt(3), "w", now);
            case 6:
                return mRandom.nextInt(4) > 0
                        ? new Command.CloseOrder(rollOut, "t" + mRandom.nextInt(3), now)
                        : new Command.FinishPlan(rollOut, now);
            case 7, 8:
                return new Command.ClaimRun("o", key, "f", request, 500, KEEP_MILLIS, now);
            default:
                return mRandom.nextInt(3) == 0
                        ? new Command.ReleaseClaim("o", key, request, now)
                        : new Command.CloseClaim("o", key, request, 200, "a", "", now);
        }
    }
}
