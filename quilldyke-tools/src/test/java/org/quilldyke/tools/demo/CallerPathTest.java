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

import io.activej.http.HttpMethod;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.quilldyke.daemon.json.JsonTree;
import org.quilldyke.testkit.engine.EngineStandIn;
import org.quilldyke.testkit.engine.WordModel;
import org.quilldyke.tools.client.ApiClient;
import org.quilldyke.tools.client.ReceivedStream;

/** The caller's side of a running site: each refusal has its code, each answer is whole. */
class CallerPathTest {
    @TempDir static Path sFolder;

    private static final String AUTH = "Authorization";
    private static final String BEARER = "Bearer " + SmallSite.TOKEN;

    private static SmallSite sSite;

    @BeforeAll
    static void start() throws Exception {
        sSite = SmallSite.start(sFolder);
    }

    @AfterAll
    static void stop() {
        sSite.close();
    }

    @Test
    void wholeAnswerCarriesUsageAndCode() throws Exception {
        String prompt = "Who owns lot 4? ".repeat(600);
        String body = SmallSite.completion(prompt, 20, false);

        sSite.post(0, "/v1/completions", body, AUTH, BEARER);
        ApiClient.Answer answer = sSite.post(1, "/v1/completions", body, AUTH, BEARER);

        assertThat(answer.status()).isEqualTo(200);
        assertThat(answer.code()).isEqualTo("QR0000");
        assertThat(answer.outcome()).isEqualTo("ran");
        var json = JsonTree.read(answer.body().getBytes(StandardCharsets.UTF_8));
        assertThat(json.path("choices").path(0).path("text").asText())
                .isEqualTo(WordModel.answer(prompt.getBytes(StandardCharsets.UTF_8), 20));
        assertThat(json.path("usage").path("prompt_tokens_details").path("cached_tokens").asInt())
                .isEqualTo(8000);
    }

    @Test
    void chatIsAnswered() throws Exception {
        String body =
                "{\"model\":\"lm-examiner\",\"max_tokens\":5,"
                        + "\"messages\":[{\"role\":\"user\",\"content\":\"plat note?\"}]}";

        ApiClient.Answer answer = sSite.post(2, "/v1/chat/completions", body, AUTH, BEARER);

        var json = JsonTree.read(answer.body().getBytes(StandardCharsets.UTF_8));
        String prompt = "<|user|>\nplat note?\n<|assistant|>\n";
        assertThat(json.path("choices").path(0).path("message").path("content").asText())
                .isEqualTo(WordModel.answer(prompt.getBytes(StandardCharsets.UTF_8), 5));
    }

    @Test
    void badRequestsAreRefusedUnrunWithTheirCodes() {
        String good = SmallSite.completion("x", 1, false);
        String path = "/v1/completions";
        assertRefused(sSite.post(0, path, good), 401, "QR1002");
        assertRefused(sSite.post(0, path, good, AUTH, "Bearer nobody"), 401, "QR1003");
        assertRefused(sSite.post(0, path, "{\"model\":", AUTH, BEARER), 400, "QR1001");
        assertRefused(sSite.post(0, path, "[]", AUTH, BEARER), 400, "QR1001");
        assertRefused(sSite.post(0, path, "{}", AUTH, BEARER), 400, "QR1001");
        assertRefused(
                sSite.post(0, path, "{\"model\":\"nope\",\"prompt\":\"x\"}", AUTH, BEARER),
                404,
                "QR1004");
        assertRefused(sSite.post(0, path, good.replace("1", "0"), AUTH, BEARER), 400, "QR1001");
        assertRefused(sSite.post(0, path, good, AUTH, BEARER, "Priority", "u=9"), 400, "QR1007");
        assertRefused(
                sSite.post(0, path, good, AUTH, BEARER, "Quilldyke-Deadline-Ms", "-5"),
                400,
                "QR1007");
        assertRefused(sSite.post(0, "/services/none/x", "", AUTH, BEARER), 404, "QR1005");
        assertRefused(sSite.post(0, "/v2/other", "", AUTH, BEARER), 404, "QR1008");
        String big = SmallSite.completion("x".repeat(5 << 20), 1, false);
        assertRefused(sSite.post(0, path, big, AUTH, BEARER), 413, "QR1006");
    }

    @Test
    void organisationOverItsLimitIsRefusedWithRetryAfter() throws Exception {
        ReceivedStream open = new ReceivedStream();
        CompletableFuture<Void> ended =
                sSite.mClient.stream(
                        HttpMethod.POST,
                        "http://" + sSite.address(0) + "/v1/completions",
                        Map.of(AUTH, "Bearer " + SmallSite.LIMITED_TOKEN),
                        SmallSite.completion("long", 200, true).getBytes(StandardCharsets.UTF_8),
                        open);
        SmallSite.await(() -> open.chunks() > 0);

        ApiClient.Answer second =
                sSite.post(
                        0,
                        "/v1/completions",
                        SmallSite.completion("x", 1, false),
                        AUTH,
                        "Bearer " + SmallSite.LIMITED_TOKEN);

        assertRefused(second, 429, "QR2003");
        assertThat(second.retryAfter()).isEqualTo("1");
        ended.join();
        assertThat(open.isDone()).isTrue();
    }

    @Test
    void deadlineThatCannotBeMetIsRefusedUnrun() {
        String body = SmallSite.completion("y".repeat(100_000), 1, false);

        ApiClient.Answer answer =
                sSite.post(0, "/v1/completions", body, AUTH, BEARER, "Quilldyke-Deadline-Ms", "10");

        assertRefused(answer, 504, "QR2004");
    }

    @Test
    void callerThatGoesAwayFreesItsEngine() throws Exception {
        ReceivedStream stream = new ReceivedStream();
        stream.onEachChunk(stream::cancel);

        sSite.stream(0, "a caller who leaves", 20_000, stream).join();

        SmallSite.await(() -> openAtEngines() == 0);
        assertThat(stream.isDone()).isFalse();
    }

    @Test
    void streamIsResumedAtAnotherInstance() throws Exception {
        ReceivedStream stream = new ReceivedStream();
        stream.onEachChunk(
                () -> {
                    if (stream.chunks() == 10) {
                        stream.cancel();
                    }
                });
        String prompt = "resume me";
        sSite.stream(0, prompt, 100, stream).join();
        ReceivedStream rest = continuation(stream);

        sSite.resume(1, SmallSite.TOKEN, rest).join();

        String expected = WordModel.answer(prompt.getBytes(StandardCharsets.UTF_8), 100);
        assertThat(stream.text() + rest.text()).isEqualTo(expected);
        assertThat(rest.isDone()).isTrue();
    }

    @Test
    void streamOfAnotherOrganisationIsNotResumed() throws Exception {
        ReceivedStream stream = new ReceivedStream();
        stream.onEachChunk(stream::cancel);
        sSite.stream(0, "not yours", 100, stream).join();
        ReceivedStream theirs = continuation(stream);

        sSite.resume(1, SmallSite.OTHER_TOKEN, theirs).join();

        assertThat(theirs.refusal().code()).isEqualTo("QR2013");
        assertThat(theirs.text()).isEmpty();
    }

    @Test
    void brokenConnectionsToEnginesAreResumedInOrder() throws Exception {
        sSite.mSite.engines().forEach(e -> e.breakStreamsAfter(3));
        try {
            ReceivedStream stream = new ReceivedStream();
            String prompt = "a bad connection";

            sSite.stream(2, prompt, 12, stream).join();

            assertThat(stream.error()).isEmpty();
            assertThat(stream.text())
                    .isEqualTo(WordModel.answer(prompt.getBytes(StandardCharsets.UTF_8), 12));
        } finally {
            sSite.mSite.engines().forEach(e -> e.breakStreamsAfter(-1));
        }
    }

    @Test
    void refusalByAllEnginesIsNotRun() {
        sSite.mSite.engines().forEach(e -> e.refuse(true));
        try {
            ApiClient.Answer answer =
                    sSite.post(
                            0,
                            "/v1/completions",
                            SmallSite.completion("refused", 1, false),
                            AUTH,
                            BEARER);

            assertThat(answer.outcome()).isEqualTo("not-run");
            assertThat(answer.status()).isAtLeast(500);
        } finally {
            sSite.mSite.engines().forEach(e -> e.refuse(false));
        }
    }

    @Test
    void slowCallerDoesNotStallOthers() throws Exception {
        ReceivedStream slow = new ReceivedStream();
        slow.onEachChunk(() -> pause(20));
        ApiClient slowClient = ApiClient.open();
        CompletableFuture<Void> ended =
                slowClient.stream(
                        HttpMethod.POST,
                        "http://" + sSite.address(0) + "/v1/completions",
                        Map.of(AUTH, BEARER),
                        SmallSite.completion("slow", 60, true).getBytes(StandardCharsets.UTF_8),
                        slow);
        SmallSite.await(() -> slow.chunks() > 0);

        ReceivedStream fast = new ReceivedStream();
        sSite.stream(0, "fast", 10, fast).join();

        assertThat(fast.isDone()).isTrue();
        assertThat(slow.isDone()).isFalse();
        ended.join();
        slowClient.close();
        assertThat(slow.text())
                .isEqualTo(WordModel.answer("slow".getBytes(StandardCharsets.UTF_8), 60));
    }

    @Test
    void notRepeatableCompletionRunsOnceAndIsStored() {
        String body = SmallSite.completion("certified summary", 8, false);
        String[] headers = {
            AUTH, BEARER, "Idempotency-Key", "cert-1", "Quilldyke-Repeatable", "false"
        };

        ApiClient.Answer first = sSite.post(0, "/v1/completions", body, headers);
        ApiClient.Answer again = sSite.post(1, "/v1/completions", body, headers);
        ApiClient.Answer other =
                sSite.post(
                        2, "/v1/completions", SmallSite.completion("another", 8, false), headers);

        assertThat(first.status()).isEqualTo(200);
        assertThat(again.body()).isEqualTo(first.body());
        assertRefused(other, 422, "QR1009");
    }

    @Test
    void callWhoseAnswerIsLostIsNeverRunAgain() {
        sSite.mSite.services().get(0).dropAnswers(true);
        ApiClient.Answer lost = sSite.hold(0, "lost-1", "amount=1").join();
        sSite.mSite.services().get(0).dropAnswers(false);

        ApiClient.Answer again = sSite.hold(1, "lost-1", "amount=1").join();

        assertThat(lost.outcome()).isEqualTo("unknown");
        assertThat(again.code()).isEqualTo("QR2011");
        assertThat(sSite.mSite.services().get(0).runs()).containsEntry("lost-1", 1);
    }

    private static int openAtEngines() {
        int open = 0;
        for (EngineStandIn engine : sSite.mSite.engines()) {
            try {
                open += engine.open();
            } catch (IOException e) {
                throw new AssertionError(e);
            }
        }
        return open;
    }

    private static ReceivedStream continuation(ReceivedStream stream) {
        return ReceivedStream.after(stream.lastEventId());
    }

    private static void assertRefused(ApiClient.Answer answer, int status, String code) {
        assertWithMessage(answer.body()).that(answer.code()).isEqualTo(code);
        assertThat(answer.status()).isEqualTo(status);
        assertThat(answer.outcome()).isEqualTo("not-run");
    }

    private static void pause(long millis) {
        try {
            Thread.sleep(millis);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
