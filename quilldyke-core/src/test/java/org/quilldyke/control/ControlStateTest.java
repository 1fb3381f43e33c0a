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
package org.quilldyke.control;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import org.junit.jupiter.api.Test;
import org.quilldyke.QuilldykeException;
import org.quilldyke.ResultCode;

class ControlStateTest {
    private static final String HASH = "ab".repeat(32);

    private ControlState mState = ControlState.create();
    private long mIndex;

    @Test
    void nothingChangesBeforeTheConfirmation() throws QuilldykeException {
        CommandResult planned = stateIntent("1", "a", retire("e1"));

        assertThat(planned.isOk()).isTrue();
        assertThat(planned.plan().steps()).isNotEmpty();
        assertThat(mState.configuration().version()).isEqualTo(0);
        confirm("1");
        assertThat(mState.configuration().isRetired("e1")).isTrue();
    }

    @Test
    void resentCommandReturnsTheFirstResult() throws QuilldykeException {
        CommandResult first = stateIntent("1", "a", retire("e1"));
        CommandResult confirmed = confirm("1");

        assertThat(stateIntent("1", "a", retire("e1")).plan().steps())
                .isEqualTo(first.plan().steps());
        assertThat(confirm("1").plan()).isEqualTo(confirmed.plan());
        assertThat(mState.configuration().version()).isEqualTo(1);
    }

    @Test
    void conflictingIntentReturnsTheAcceptedPlan() throws QuilldykeException {
        stateIntent("1", "a", retire("e1"));

        CommandResult conflict = stateIntent("1", "b", retire("e2"));

        assertThat(conflict.code()).isEqualTo(ResultCode.PLAN_CONFLICT);
        assertThat(conflict.plan().intentId()).isEqualTo("a");
    }

    @Test
    void planIsStaleOnceItsObjectsHaveChanged() throws QuilldykeException {
        stateIntent("1", "a", new Intent.PutOrganisation("hall", List.of(HASH), 1));
        stateIntent("2", "b", new Intent.PutOrganisation("hall", List.of(HASH), 2));
        confirm("2");

        assertThat(confirm("1").code()).isEqualTo(ResultCode.PLAN_STALE);
        assertThat(mState.configuration().organisations().get("hall").maxConcurrent()).isEqualTo(2);
        assertThat(confirm("1").code()).isEqualTo(ResultCode.PLAN_STALE);
    }

    @Test
    void tokenOfAnotherOrganisationIsRefused() throws QuilldykeException {
        stateIntent("1", "a", new Intent.PutOrganisation("hall", List.of(HASH), 0));
        confirm("1");

        CommandResult result =
                stateIntent("2", "b", new Intent.PutOrganisation("x", List.of(HASH), 0));

        assertThat(result.code()).isEqualTo(ResultCode.INTENT_INVALID);
        assertThat(result.plan()).isNull();
    }

    @Test
    void claimIsGrantedOnceAndItsAnswerIsKept() throws QuilldykeException {
        assertThat(claim("k", "f", "r1", 10).isOk()).isTrue();
        assertThat(claim("k", "f", "r2", 20).code()).isEqualTo(ResultCode.RUN_IN_PROGRESS);
        assertThat(claim("k", "other", "r3", 20).code()).isEqualTo(ResultCode.KEY_REUSED);
        apply(new Command.CloseClaim("o", "k", "r1", 200, "done", "text/plain", 30));

        CommandResult repeat = claim("k", "f", "r4", 40);

        assertThat(repeat.isOk()).isTrue();
        assertThat(repeat.claim().answer()).isEqualTo("done");
    }

    @Test
    void unfinishedRunBecomesUnknownAcceptsALateAnswerAndExpires() throws QuilldykeException {
        claim("k", "f", "r1", 0);

        assertThat(claim("k", "f", "r2", 100).code()).isEqualTo(ResultCode.RUN_UNKNOWN);
        apply(new Command.CloseClaim("o", "k", "r1", 200, "late", "", 110));
        assertThat(claim("k", "f", "r3", 120).claim().answer()).isEqualTo("late");
        assertThat(claim("k", "f", "r4", 1000).claim().requestId()).isEqualTo("r4");
    }

    @Test
    void releasedClaimCanBeGrantedAgain() throws QuilldykeException {
        claim("k", "f", "r1", 0);
        apply(new Command.ReleaseClaim("o", "k", "r2", 1));
        assertThat(claim("k", "f", "r3", 2).code()).isEqualTo(ResultCode.RUN_IN_PROGRESS);

        apply(new Command.ReleaseClaim("o", "k", "r1", 3));

        assertThat(claim("k", "f", "r3", 4).isOk()).isTrue();
    }

    @Test
    void snapshotRestoresConfigurationPlansAndClaims() throws QuilldykeException {
        stateIntent("1", "a", retire("e1"));
        confirm("1");
        claim("k", "f", "r1", 10);

        mState = ControlState.restore(mState.snapshot());

        assertThat(mState.configuration().isRetired("e1")).isTrue();
        assertThat(stateIntent("1", "b", retire("e2")).code()).isEqualTo(ResultCode.PLAN_CONFLICT);
        assertThat(claim("k", "f", "r2", 20).code()).isEqualTo(ResultCode.RUN_IN_PROGRESS);
        assertThat(claim("k", "f", "r3", 1010).isOk()).isTrue();
    }

    private CommandResult stateIntent(String number, String intentId, Intent intent)
            throws QuilldykeException {
        return apply(new Command.StateIntent(number, intentId, "op", intent, 4, 0));
    }

    private CommandResult confirm(String number) throws QuilldykeException {
        return apply(new Command.ConfirmPlan(number, 0));
    }

    private CommandResult claim(String key, String fingerprint, String requestId, long at)
            throws QuilldykeException {
        return apply(new Command.ClaimRun("o", key, fingerprint, requestId, 50, 500, at));
    }

    private CommandResult apply(Command command) throws QuilldykeException {
        return mState.apply(++mIndex, command);
    }

    private static Intent retire(String target) {
        return new Intent.SetRetired(target, true);
    }
}
