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

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.quilldyke.daemon.QuilldykeInstance;
import org.quilldyke.daemon.log.Event;
import org.quilldyke.testkit.engine.EngineStandIn;
import org.quilldyke.testkit.engine.WordModel;
import org.quilldyke.tools.client.ReceivedStream;

/**
 * A caller never got the end of its answer. The order of events: an engine and the entry that
 * relays from it are lost while a stream runs; the caller resumes at another entry with the id of
 * its last event, which names the lost engine; nobody holds the stream (QR2013), now or later. The
 * cause: the caller went on to resume until it gave up. The evidence: the answer was cut at each
 * try, with the engine away and with it back under another incarnation, and is whole once the
 * request is sent anew.
 */
@Timeout(60)
class LostStreamTest {
    private static final int TOKENS = 200;
    private static final int CHUNKS_BEFORE = 5;
    private static final String PROMPT = "deed of the lost volume";

    @TempDir Path mFolder;

    @ParameterizedTest
    @ValueSource(booleans = {false, true})
    void answerIsWholeThoughEngineAndEntryAreLost(boolean engineComesBack) throws Exception {
        try (SmallSite site = SmallSite.start(mFolder)) {
            DemoCaller caller = new DemoCaller(site.mClient, () -> running(site));
            ReceivedStream stream = new ReceivedStream();
            CompletableFuture<String> lost = new CompletableFuture<>();
            // Nothing more is read before both are lost, since this is the reader's thread.
            stream.onEachChunk(
                    () -> {
                        if (stream.chunks() == CHUNKS_BEFORE && !lost.isDone()) {
                            lose(site, stream.lastEventId(), engineComesBack);
                            lost.complete(stream.lastEventId());
                        }
                    });

            caller.complete(SmallSite.TOKEN, PROMPT, TOKENS, stream);

            byte[] prompt = PROMPT.getBytes(StandardCharsets.UTF_8);
            assertThat(lost.isDone()).isTrue();
            assertWithMessage("refused %s", stream.refusal()).that(stream.isDone()).isTrue();
            assertThat(stream.error()).isEmpty();
            assertThat(stream.text()).isEqualTo(WordModel.answer(prompt, TOKENS));
            // One connection resumes in vain, and one sends the request anew.
            assertThat(caller.reconnects()).isAtLeast(2);
            assertThat(resumptions(site)).isAtLeast(1L);
            for (int survivor : List.of(1, 2)) {
                ReceivedStream resumed = ReceivedStream.after(lost.join());
                site.resume(survivor, SmallSite.TOKEN, resumed).join();
                assertThat(resumed.refusal().code()).isEqualTo("QR2013");
            }
        }
    }

    /** Stops the first instance and the engine that an event's id names. */
    private static void lose(SmallSite site, String eventId, boolean engineComesBack) {
        site.mSite.haltInstance(site.mSite.instances().get(0));
        List<EngineStandIn> engines = site.mSite.engines();
        int index = eventId.startsWith(engines.get(0).id() + "/") ? 0 : 1;
        assertThat(eventId).startsWith(engines.get(index).id() + "/");
        site.mSite.killEngine(index);
        if (engineComesBack) {
            try {
                site.mSite.restartEngine(index);
            } catch (IOException e) {
                throw new AssertionError(e);
            }
        }
    }

    private static List<String> running(SmallSite site) {
        return site.mSite.instances().stream()
                .filter(instance -> !instance.isHalted())
                .map(instance -> instance.self().traffic())
                .toList();
    }

    private static long resumptions(SmallSite site) {
        long resumptions = 0;
        for (QuilldykeInstance instance : site.mSite.instances()) {
            resumptions += instance.log().count(Event.STREAM_RESUMED);
        }
        return resumptions;
    }
}
