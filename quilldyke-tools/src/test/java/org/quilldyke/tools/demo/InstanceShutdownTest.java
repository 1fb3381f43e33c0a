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

import com.sun.net.httpserver.HttpServer;
import io.activej.http.HttpMethod;
import java.io.IOException;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.concurrent.Executors;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.quilldyke.caller.CutCause;
import org.quilldyke.daemon.QuilldykeInstance;
import org.quilldyke.daemon.json.Json;
import org.quilldyke.daemon.log.Event;
import org.quilldyke.daemon.settings.Addresses;
import org.quilldyke.engine.TargetRecord;
import org.quilldyke.testkit.engine.WordModel;
import org.quilldyke.tools.client.ApiClient;
import org.quilldyke.tools.client.ReceivedStream;

/**
 * What callers get of an instance that shuts down.
 *
 * <p>Users saw streams and answers cut without a word, and an exit status that said that all open
 * requests had ended. In each case the instance got its signal, counted its open requests, found
 * none, and closed all sockets: what it counted were admitted requests until their answer was made,
 * not requests until their answer was sent. What it knew to be open at its limit it cut in the same
 * way. The evidence is what callers have in these tests.
 */
class InstanceShutdownTest {
    @TempDir static Path sFolder;

    private static final int LEAVING = 0;
    private static final int STAYING = 1;
    private static final int OTHER = 2;
    private static final int DRAIN_MILLIS = 2500;

    /** Takes 1.5 s of an engine, so that it ends after the grace and before the limit. */
    private static final int TOKENS_IN_TIME = 300;

    /** Takes 5 s of an engine, which the drain time doesn't allow. */
    private static final int TOKENS_TOO_MANY = 1000;

    /** How long a slow caller takes for the rest of its request. */
    private static final int SLOW_MILLIS = 500;

    private static final int LONG_CALL_MILLIS = 60_000;
    private static final int SHORT_CALL_MILLIS = 5;
    private static final int BIG_ANSWER_BYTES = 4_000_000;
    private static final String COMPLETIONS = "/v1/completions";
    private static final String HOLDS = "/services/" + DemoSite.SERVICE + "/holds";

    private static SmallSite sSite;

    private CompletableFuture<Boolean> mDrained;

    @BeforeAll
    static void start() throws Exception {
        sSite = SmallSite.start(DemoSite.plan(3, 3, sFolder, DRAIN_MILLIS));
    }

    @AfterAll
    static void stop() {
        sSite.close();
    }

    @AfterEach
    void restart() throws Exception {
        sSite.mSite.services().get(0).delay(SHORT_CALL_MILLIS);
        mDrained.join();
        sSite.mSite.restartInstance(LEAVING);
        SmallSite.await(
                () ->
                        sSite.mSite.instances().stream()
                                .allMatch(i -> i.isReady() && i.knownTargets() >= 3));
    }

    /**
     * Users saw a stream cut that they had resumed at the instance. It was resumed, the signal
     * came, and the sockets were closed once the grace was over: a resumed stream wasn't counted.
     */
    @Test
    void resumedStreamEndsWholeBeforeTheInstanceDoes() throws Exception {
        String prompt = "resumed before the signal";
        ReceivedStream stream = new ReceivedStream();
        stream.onEachChunk(
                () -> {
                    if (stream.chunks() == 5) {
                        stream.cancel();
                    }
                });
        sSite.stream(STAYING, prompt, TOKENS_IN_TIME, stream).join();
        ReceivedStream rest = ReceivedStream.after(stream.lastEventId());
        CompletableFuture<Void> ended = sSite.resume(LEAVING, SmallSite.TOKEN, rest);
        SmallSite.await(() -> rest.chunks() > 5);

        shutDown();
        ended.join();

        assertThat(rest.isDone()).isTrue();
        assertThat(stream.text() + rest.text()).isEqualTo(answer(prompt, TOKENS_IN_TIME));
        assertThat(mDrained.join()).isTrue();
    }

    /**
     * Users saw the connection closed amid a long prompt that they sent. Its head had come, the
     * signal came, and the sockets were closed: a request wasn't counted before its body was whole.
     */
    @Test
    void requestInTheMiddleOfBeingSentIsAnswered() throws Exception {
        String body = SmallSite.completion("half of it", 5, false);
        try (RawCaller caller = caller()) {
            caller.head("POST", COMPLETIONS, SmallSite.TOKEN, body.length());
            caller.send(body.substring(0, 20));
            awaitServed();

            shutDown();
            awaitRefusing();
            Thread.sleep(SLOW_MILLIS);
            caller.send(body.substring(20));

            String answer = caller.untilEnd();
            assertThat(answer).startsWith("HTTP/1.1 200");
            assertThat(answer).contains(answer("half of it", 5));
        }
        assertThat(mDrained.join()).isTrue();
    }

    /**
     * Operators saw a call end without an answer, and didn't know whether it was taken. It was
     * under way, the signal came, and the sockets were closed: operators' calls weren't counted.
     */
    @Test
    void operatorsCallIsAnswered() throws Exception {
        String body = "{\"number\":\"\",\"intentId\":\"\",\"operator\":\"o\",\"intent\":null}";
        try (RawCaller caller = caller()) {
            caller.head("POST", "/operator/intents", DemoSite.OPERATOR_TOKEN, body.length());
            caller.send(body.substring(0, 10));
            awaitServed();

            shutDown();
            awaitRefusing();
            Thread.sleep(SLOW_MILLIS);
            caller.send(body.substring(10));

            assertThat(caller.untilEnd()).startsWith("HTTP/1.1 400");
        }
        assertThat(mDrained.join()).isTrue();
    }

    /**
     * Users saw whole answers end early, with status 200. The answer was made, the signal came, and
     * the sockets were closed with most of it unsent: an answer counted as done before its caller
     * had taken it.
     */
    @Test
    void slowCallerGetsItsWholeAnswer() throws Exception {
        HttpServer big = bigService();
        try (RawCaller caller = caller()) {
            caller.head("GET", "/services/big/all", SmallSite.TOKEN, 0);
            SmallSite.await(() -> instance().metrics().answered().getCount() > 0);
            awaitServed();

            shutDown();
            awaitRefusing();

            assertThat(RawCaller.bodyOf(caller.untilEnd())).hasLength(BIG_ANSWER_BYTES);
        } finally {
            big.stop(0);
        }
        assertThat(mDrained.join()).isTrue();
    }

    /** Users could not tell a stream cut at the limit from a broken network. */
    @Test
    void streamCutAtTheLimitSaysSoAndIsResumedElsewhere() throws Exception {
        String prompt = "longer than the drain time";
        ReceivedStream stream = new ReceivedStream();
        CompletableFuture<Void> ended = sSite.stream(LEAVING, prompt, TOKENS_TOO_MANY, stream);
        SmallSite.await(() -> stream.chunks() > 5);

        shutDown();
        ended.join();
        ReceivedStream rest = ReceivedStream.after(stream.lastEventId());
        sSite.resume(STAYING, SmallSite.TOKEN, rest).join();

        assertThat(stream.error()).contains("\"code\":\"QR2021\"");
        assertThat(stream.error()).contains("\"outcome\":\"ran\"");
        assertThat(stream.text() + rest.text()).isEqualTo(answer(prompt, TOKENS_TOO_MANY));
        assertThat(mDrained.join()).isFalse();
        assertThat(instance().log().count(Event.REFUSED)).isEqualTo(1);
        assertThat(instance().log().count(Event.ANSWER_CUT)).isEqualTo(1);
        assertThat(instance().metrics().cut(CutCause.SHUTDOWN).getCount()).isEqualTo(1);
        assertWithMessage("attempts").that(attempts()).isEqualTo(1);
    }

    /** A caller that takes any error in a stream for its end gives up one that only moves. */
    @Test
    void callerGoesOnAtAnotherInstanceAfterTheCut() throws Exception {
        String prompt = "goes on elsewhere";
        DemoCaller caller =
                new DemoCaller(
                        sSite.mClient,
                        () -> List.of(sSite.address(instance().isReady() ? LEAVING : STAYING)));
        ReceivedStream stream = new ReceivedStream();
        stream.onEachChunk(
                () -> {
                    if (stream.chunks() == 5) {
                        shutDown();
                    }
                });

        caller.complete(SmallSite.TOKEN, prompt, TOKENS_TOO_MANY, stream);

        assertThat(stream.isDone()).isTrue();
        assertThat(stream.error()).isEmpty();
        assertThat(stream.text()).isEqualTo(answer(prompt, TOKENS_TOO_MANY));
        assertThat(caller.reconnects()).isEqualTo(1);
    }

    /** Users got no answer to a call that may have run, and no word that it may have. */
    @Test
    void callCutAtTheLimitIsToldThatItMayHaveRun() throws Exception {
        sSite.mSite.services().get(0).delay(LONG_CALL_MILLIS);
        CompletableFuture<ApiClient.Answer> call = sSite.hold(LEAVING, "hold-cut", "amount=1");
        SmallSite.await(() -> sSite.mSite.services().get(0).runs().containsKey("hold-cut"));

        shutDown();

        ApiClient.Answer answer = call.join();
        assertThat(answer.code()).isEqualTo("QR2021");
        assertThat(answer.status()).isEqualTo(502);
        assertThat(answer.outcome()).isEqualTo("unknown");
        assertThat(mDrained.join()).isFalse();
        assertThat(instance().log().count(Event.REFUSED)).isEqualTo(1);
    }

    /**
     * Users were told for half a minute that a run was in progress which nobody waited for any
     * more. Its instance was ended with its claim open.
     */
    @Test
    void claimOfACallCutAtTheLimitIsClosed() throws Exception {
        sSite.mSite.services().get(0).delay(LONG_CALL_MILLIS);
        CompletableFuture<?> call =
                sSite.hold(LEAVING, "hold-claim", "amount=2").exceptionally(e -> null);
        SmallSite.await(() -> sSite.mSite.services().get(0).runs().containsKey("hold-claim"));

        shutDown();
        mDrained.join();
        call.join();

        ApiClient.Answer again = sSite.hold(STAYING, "hold-claim", "amount=2").join();
        assertThat(again.code()).isEqualTo("QR2011");
    }

    /** Users got no answer to a completion that had run for seconds. */
    @Test
    void wholeCompletionCutAtTheLimitIsToldThatItRan() throws Exception {
        String body = SmallSite.completion("not streamed, too long", TOKENS_TOO_MANY, false);
        long before = instance().openRequests();
        CompletableFuture<ApiClient.Answer> call = send(LEAVING, body);
        SmallSite.await(() -> instance().openRequests() > before);
        SmallSite.await(() -> instance().metrics().attempts().getCount() > 0);

        shutDown();

        ApiClient.Answer answer = call.join();
        assertThat(answer.code()).isEqualTo("QR2021");
        assertThat(answer.outcome()).isEqualTo("ran");
        assertThat(mDrained.join()).isFalse();
        assertWithMessage("attempts").that(attempts()).isEqualTo(1);
    }

    /** Users whose prompt never came whole got no word that nothing of it had run. */
    @Test
    void requestNeverSentWholeIsRefusedUnrunAtTheLimit() throws Exception {
        String body = SmallSite.completion("half of it", 5, false);
        try (RawCaller caller = caller()) {
            caller.head("POST", COMPLETIONS, SmallSite.TOKEN, body.length());
            caller.send(body.substring(0, 20));
            awaitServed();

            shutDown();

            String answer = caller.untilEnd();
            assertThat(answer).startsWith("HTTP/1.1 503");
            assertThat(answer).contains("QR2014");
            assertThat(answer).contains("not-run");
        }
        assertThat(mDrained.join()).isFalse();
        assertThat(instance().log().count(Event.REFUSED)).isEqualTo(1);
    }

    /**
     * Users were told that nothing ran, and it ran. A claim was being recorded when the drain time
     * ended, its caller was told so, and the claim's success started the run.
     */
    @Test
    void callCutWhileItsClaimIsRecordedDoesNotRun() throws Exception {
        sSite.mSite.instances().get(STAYING).halt();
        sSite.mSite.instances().get(OTHER).halt();
        CompletableFuture<ApiClient.Answer> call = sSite.hold(LEAVING, "hold-unrun", "amount=5");
        SmallSite.await(() -> instance().openRequests() > 0);

        shutDown();

        assertThat(call.join().code()).isEqualTo("QR2014");
        assertThat(call.join().outcome()).isEqualTo("not-run");
        sSite.mSite.restartInstance(STAYING);
        sSite.mSite.restartInstance(OTHER);
        assertThat(mDrained.join()).isFalse();
        assertThat(sSite.mSite.services().get(0).runs()).doesNotContainKey("hold-unrun");
    }

    /**
     * Users saw an answer cut whose request had come after the signal, while requests are still
     * taken. It was taken however long it would last, and the limit cut it. The evidence is the
     * answer that its caller has, and that no engine was asked.
     */
    @Test
    void requestThatCannotEndInTimeIsRefusedUnrun() throws Exception {
        String body = SmallSite.completion("too long", TOKENS_TOO_MANY, false);
        try (RawCaller caller = caller()) {
            caller.head("POST", COMPLETIONS, SmallSite.TOKEN, body.length());
            caller.send(body.substring(0, 20));
            awaitServed();
            long attemptsBefore = attempts();

            shutDown();
            SmallSite.await(() -> !instance().isReady());
            caller.send(body.substring(20));

            String answer = caller.untilEnd();
            assertThat(answer).startsWith("HTTP/1.1 503");
            assertThat(answer).contains("QR2014");
            assertThat(answer).contains("not-run");
            assertWithMessage("attempts").that(attempts()).isEqualTo(attemptsBefore);
        }
        assertThat(mDrained.join()).isTrue();
    }

    /**
     * Users saw a connection closed under a request that they sent on it. It was kept open by an
     * answer after the signal, so that its caller used it again in the instance's last moment.
     */
    @Test
    void answersAfterTheSignalEndTheirConnections() throws Exception {
        String body = SmallSite.completion("after the signal", 2, false);
        try (RawCaller caller = caller()) {
            sSite.mSite.services().get(0).delay(LONG_CALL_MILLIS);
            sSite.hold(LEAVING, "hold-open", "amount=3").exceptionally(e -> null);
            SmallSite.await(() -> instance().openRequests() > 0);
            shutDown();
            SmallSite.await(() -> !instance().isReady());

            caller.head("POST", COMPLETIONS, SmallSite.TOKEN, body.length()).send(body);

            assertThat(caller.untilEnd()).contains("onnection: close");
        }
    }

    /** A refusal reaches a caller that is still sending when it is refused. */
    @Test
    void callerRefusedAmidItsRequestGetsTheRefusal() throws Exception {
        try (RawCaller caller = caller()) {
            sSite.mSite.services().get(0).delay(LONG_CALL_MILLIS);
            sSite.hold(LEAVING, "hold-open-2", "amount=4").exceptionally(e -> null);
            SmallSite.await(() -> instance().openRequests() > 0);
            shutDown();
            awaitRefusing();

            caller.head("POST", HOLDS, SmallSite.TOKEN, 1 << 20);
            for (int i = 0; i < 16; i++) {
                caller.send("x".repeat(1 << 16));
                Thread.sleep(20);
            }

            String answer = caller.untilEnd();
            assertThat(answer).startsWith("HTTP/1.1 503");
            assertThat(answer).contains("QR2014");
            assertThat(answer).doesNotContain("(reset)");
        }
    }

    /**
     * Operators saw a shutdown last its whole drain time and exit with a failure. A caller had been
     * refused amid its request and never sent the rest, and counted as one that is owed an answer.
     */
    @Test
    void refusedCallerThatStallsHoldsNoShutdown() throws Exception {
        String body = SmallSite.completion("keeps the shutdown waiting", 2, false);
        try (RawCaller open = caller();
                RawCaller stalled = caller()) {
            open.head("POST", COMPLETIONS, SmallSite.TOKEN, body.length());
            open.send(body.substring(0, 20));
            awaitServed();
            shutDown();
            awaitRefusing();

            stalled.head("POST", HOLDS, SmallSite.TOKEN, 100).send("half");
            assertThat(stalled.untilHead()).startsWith("HTTP/1.1 503");
            open.send(body.substring(20));

            assertThat(open.untilEnd()).startsWith("HTTP/1.1 200");
            assertThat(mDrained.join()).isTrue();
        }
    }

    private static QuilldykeInstance instance() {
        return sSite.mSite.instances().get(LEAVING);
    }

    private static long attempts() {
        return instance().metrics().attempts().getCount();
    }

    private static RawCaller caller() throws IOException {
        return RawCaller.connect(sSite.address(LEAVING));
    }

    private void shutDown() {
        QuilldykeInstance leaving = instance();
        mDrained = new CompletableFuture<>();
        new Thread(() -> mDrained.complete(leaving.shutdown()), "shutdown").start();
    }

    private static CompletableFuture<ApiClient.Answer> send(int instance, String body) {
        return sSite.mClient.send(
                HttpMethod.POST,
                "http://" + sSite.address(instance) + COMPLETIONS,
                Map.of("Authorization", "Bearer " + SmallSite.TOKEN),
                body.getBytes(StandardCharsets.UTF_8));
    }

    /** Waits until the instance refuses, or is gone. */
    private static void awaitRefusing() throws InterruptedException {
        SmallSite.await(
                () -> {
                    try {
                        String body = SmallSite.completion("refused?", 1, false);
                        return send(LEAVING, body).join().code().equals("QR2014");
                    } catch (CompletionException e) {
                        return true;
                    }
                });
    }

    /** Waits until what was sent before is surely read: a later request was answered. */
    private static void awaitServed() throws InterruptedException {
        for (int i = 0; i < sSite.mSite.site().limits().trafficThreads(); i++) {
            String body = SmallSite.completion("later", 1, false);
            assertWithMessage("a later request").that(send(LEAVING, body).join()).isNotNull();
        }
    }

    private static String answer(String prompt, int tokens) {
        return WordModel.answer(prompt.getBytes(StandardCharsets.UTF_8), tokens);
    }

    /** Starts and announces a target whose answers don't fit the buffers between it and callers. */
    private static HttpServer bigService() throws Exception {
        String address = DemoSite.freeAddress();
        HttpServer server = HttpServer.create(Addresses.parse(address), 0);
        byte[] bytes = "b".repeat(BIG_ANSWER_BYTES).getBytes(StandardCharsets.US_ASCII);
        server.createContext(
                "/",
                exchange -> {
                    exchange.sendResponseHeaders(200, bytes.length);
                    try (OutputStream out = exchange.getResponseBody()) {
                        out.write(bytes);
                    }
                });
        server.setExecutor(Executors.newSingleThreadExecutor());
        server.start();
        TargetRecord record =
                new TargetRecord(
                        "big-1",
                        TargetRecord.Kind.SERVICE,
                        sSite.mSite.site().cell(),
                        "big",
                        address,
                        "bryan-ops",
                        System.currentTimeMillis(),
                        0,
                        "",
                        "",
                        64,
                        0,
                        false,
                        false);
        sSite.post(LEAVING, "/targets/announce", Json.text(record));
        SmallSite.await(() -> instance().knownTargets() == 4);
        return server;
    }
}
