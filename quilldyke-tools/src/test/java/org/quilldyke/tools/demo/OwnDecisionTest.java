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
package org.quilldyke.tools.demo;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import org.quilldyke.caller.CutCause;
import org.quilldyke.control.Intent;
import org.quilldyke.daemon.QuilldykeInstance;
import org.quilldyke.daemon.caller.CallerHeaders;
import org.quilldyke.daemon.log.Event;
import org.quilldyke.testkit.engine.EngineStandIn;
import org.quilldyke.testkit.engine.WordModel;
import org.quilldyke.tools.client.ReceivedStream;

/**
 * An answer under way isn't ended by the instance's own decision while its engine is at work.
 *
 * <p>Callers saw a stream end with an error, though its engine worked or another one could have
 * gone on a moment later. The order of events: the connection to the engine breaks; the run is told
 * to cancel; then somebody else is looked for; nobody takes it at that very moment, and the stream
 * is cut. The cause: a run is left before another one has begun, and what holds for a new request
 * (no target now, no allowance now, a refusal that hasn't run) ends one under way. The evidence is
 * what callers have in these tests, and the runs that the engines had.
 */
@Timeout(120)
class OwnDecisionTest {
    private static final int ENTRY = 0;

    /** Takes 2 s of an engine. */
    private static final int TOKENS = 400;

    /** Takes 7.5 s of an engine, longer than a target's lease. */
    private static final int TOKENS_OVER_A_LEASE = 1500;

    /** Takes 3 s of an engine; it stands still amid it for longer than three stalls. */
    private static final int TOKENS_OVER_A_SILENCE = 600;

    private static final int MOMENT_MILLIS = 800;
    private static final int SILENCE_MILLIS = 16_500;
    private static final String[] ONCE = {"Quilldyke-Repeatable", "false"};

    @TempDir Path mFolder;
    private SmallSite mSite;

    @BeforeEach
    void start() throws Exception {
        mSite = SmallSite.start(mFolder);
    }

    @AfterEach
    void stop() {
        mSite.close();
    }

    /** A refusal to go on that has not run ended the run that it was about. */
    @Test
    void staysIfItsEngineRefusesToGoOnForAMoment() throws Exception {
        Running stream = begin("refused for a moment", TOKENS, ONCE);
        engines().forEach(engine -> engine.refuseResumes(true));
        engines().forEach(EngineStandIn::breakStreams);
        Thread.sleep(MOMENT_MILLIS);
        engines().forEach(engine -> engine.refuseResumes(false));

        stream.assertWhole();
        assertThat(stream.runs()).isEqualTo(1);
    }

    /** The run was told to cancel, and then nobody else took it. */
    @Test
    void staysIfNobodyElseTakesItEither() throws Exception {
        Running stream = begin("refused everywhere", TOKENS);
        engines().forEach(engine -> engine.refuseResumes(true));
        engines().forEach(engine -> engine.refuse(true));
        engines().forEach(EngineStandIn::breakStreams);
        Thread.sleep(MOMENT_MILLIS);
        engines().forEach(engine -> engine.refuseResumes(false));

        stream.assertWhole();
        assertThat(stream.runs()).isEqualTo(1);
    }

    /** Breaks of the whole answer were counted, not those in a row without an event. */
    @Test
    void goesOnAfterEachBreakThatCameAfterAnEvent() throws Exception {
        engines().forEach(engine -> engine.breakStreamsAfter(3));
        Running stream = begin("often broken", TOKENS / 10, ONCE);

        stream.assertWhole();
        assertThat(stream.runs()).isEqualTo(1);
    }

    /** A lapsed lease took away the run that answered all the time. */
    @Test
    void goesOnAtAnEngineWhoseLeaseHasLapsed() throws Exception {
        Running stream = begin("lapsed lease", TOKENS_OVER_A_LEASE, ONCE);
        engines().forEach(EngineStandIn::stopAnnouncing);
        SmallSite.await(() -> entry().usableEngines(DemoSite.MODEL) == 0);
        assertThat(stream.mStream.isDone()).isFalse();
        engines().forEach(EngineStandIn::breakStreams);

        stream.assertWhole();
        assertThat(stream.runs()).isEqualTo(1);
    }

    /** The attempts were used up within milliseconds, on engines that had not run it. */
    @Test
    void waitsForAnEngineAfterTheLossOfItsOwn() throws Exception {
        Running stream = begin("nobody for a moment", TOKENS);
        int lost = stream.engine();
        engines().get(1 - lost).refuse(true);
        mSite.mSite.killEngine(lost);
        Thread.sleep(MOMENT_MILLIS);
        engines().get(1 - lost).refuse(false);

        stream.assertWhole();
    }

    /** What other requests had used of the allowance ended a stream whose engine was lost. */
    @Test
    void waitsForAnAllowanceAfterTheLossOfItsEngine() throws Exception {
        useUpTheAllowance();
        Running stream = begin("no allowance for a moment", TOKENS);
        mSite.mSite.killEngine(stream.engine());
        Thread.sleep(MOMENT_MILLIS);
        assertThat(stream.mStream.error()).isEmpty();
        // Before, requests go to the lost engine too, and use what they bring.
        SmallSite.await(() -> entry().usableEngines(DemoSite.MODEL) == 1);
        for (int i = 0; i < 10; i++) {
            complete("brings allowance " + i);
        }

        stream.assertWhole();
    }

    /** A silence longer than three stalls was taken for the engine's end. */
    @Test
    void staysIfItsEngineIsSilentAndNobodyElseTakesIt() throws Exception {
        Running stream = begin("silent", TOKENS_OVER_A_SILENCE);
        int silent = stream.engine();
        engines().get(1 - silent).refuse(true);
        engines().get(silent).freeze(true);
        Thread.sleep(SILENCE_MILLIS);
        engines().get(silent).freeze(false);

        stream.assertWhole();
        assertThat(stream.runs()).isEqualTo(1);
    }

    /** No change of what an operator sets acts on a stream that is open. */
    @Test
    void endsWholeBesideChanges() throws Exception {
        Running stream = begin("beside changes", TOKENS);
        mSite.apply(new Intent.SetRetired(engines().get(stream.engine()).id(), true));
        String other = CallerHeaders.sha256("another token");
        mSite.apply(new Intent.PutOrganisation("examiners", List.of(other), 1));
        engines().get(stream.engine()).leave();
        mSite.apply(new Intent.PutModel(DemoSite.MODEL, DemoSite.MODEL, "w2"));
        assertThat(stream.mStream.isDone()).isFalse();
        engines().forEach(EngineStandIn::breakStreams);

        stream.assertWhole();
        assertThat(stream.runs()).isEqualTo(1);
    }

    /** From a code alone nobody could tell whose decision a cut was. */
    @Test
    void aCutTellsWhoseDecisionItWas() throws Exception {
        Running stream = begin("lost with its engine", TOKENS, ONCE);
        mSite.mSite.killEngine(stream.engine());

        stream.mEnded.join();
        assertThat(stream.mStream.error()).contains("\"outcome\":\"ran\"");
        assertThat(entry().log().count(Event.ANSWER_CUT)).isEqualTo(1);
        assertThat(cuts(CutCause.TARGET)).isEqualTo(1);
        assertThat(cuts(CutCause.SHUTDOWN)).isEqualTo(0);
    }

    private Running begin(String prompt, int tokens, String... headers) throws Exception {
        ReceivedStream stream = new ReceivedStream();
        CompletableFuture<Void> ended = mSite.stream(ENTRY, prompt, tokens, stream, headers);
        SmallSite.await(() -> stream.chunks() > 1 || ended.isDone());
        return new Running(prompt, tokens, stream, ended);
    }

    private void useUpTheAllowance() {
        engines().forEach(engine -> engine.refuse(true));
        for (int i = 0; i < 40; i++) {
            complete("uses allowance " + i);
        }
        engines().forEach(engine -> engine.refuse(false));
    }

    private void complete(String prompt) {
        mSite.post(
                ENTRY,
                "/v1/completions",
                SmallSite.completion(prompt, 1, false),
                "Authorization",
                "Bearer " + SmallSite.TOKEN);
    }

    private List<EngineStandIn> engines() {
        return mSite.mSite.engines();
    }

    private QuilldykeInstance entry() {
        return mSite.mSite.instances().get(ENTRY);
    }

    private long cuts(CutCause cause) {
        return entry().metrics().registry().counter("answers.cut." + cause.label()).getCount();
    }

    /** A stream under way. */
    private final class Running {
        private final String mPrompt;
        private final int mTokens;
        private final ReceivedStream mStream;
        private final CompletableFuture<Void> mEnded;

        Running(String prompt, int tokens, ReceivedStream stream, CompletableFuture<Void> ended) {
            mPrompt = prompt;
            mTokens = tokens;
            mStream = stream;
            mEnded = ended;
        }

        /** Returns the place of the engine that answers. */
        int engine() {
            return mStream.lastEventId().startsWith(engines().get(0).id() + "/") ? 0 : 1;
        }

        /** Returns how often engines took the request. */
        int runs() {
            String request = mStream.lastEventId().split("/")[1];
            int runs = 0;
            for (EngineStandIn engine : engines()) {
                Map<String, Integer> taken = engine.runs();
                runs += taken.getOrDefault(request, 0);
            }
            return runs;
        }

        void assertWhole() {
            mEnded.join();
            byte[] prompt = mPrompt.getBytes(StandardCharsets.UTF_8);
            assertWithMessage("after %s chunks", mStream.chunks()).that(mStream.error()).isEmpty();
            assertThat(mStream.isDone()).isTrue();
            assertThat(mStream.text()).isEqualTo(WordModel.answer(prompt, mTokens));
        }
    }
}
