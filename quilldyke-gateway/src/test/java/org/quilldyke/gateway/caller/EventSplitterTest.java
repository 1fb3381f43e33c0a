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
package org.quilldyke.gateway.caller;

import static com.google.common.truth.Truth.assertThat;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.buffer.UnpooledByteBufAllocator;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.Test;

class EventSplitterTest {
    private static final String STREAM =
            "id: 1\ndata: a\n\nweights: 2\nid: 3\r\ndata: b\ndata: c\r\n\r\n: note\n\nid: x\n\n";

    @Test
    void keepsBytesAndParsesNumbers() {
        List<EventSplitter.Event> events = split(STREAM, STREAM.length());

        assertThat(joinedText(events)).isEqualTo(STREAM);
        assertThat(events.stream().map(EventSplitter.Event::number).toList())
                .containsExactly(1L, 3L, EventSplitter.NO_NUMBER, EventSplitter.NO_NUMBER)
                .inOrder();
    }

    /** The events are the same for all sizes of the chunks in which the bytes arrive. */
    @Property(tries = 40)
    void eventsDoNotDependOnChunkSize(@ForAll @IntRange(min = 1, max = 60) int size) {
        List<EventSplitter.Event> events = split(STREAM, size);

        assertThat(events).hasSize(4);
        assertThat(joinedText(events)).isEqualTo(STREAM);
    }

    /** A number that is misread makes the gateway drop events as repeated, or repeat them. */
    @Test
    void numberIsTheValueOfTheLastIdField() {
        String stream = "id:7\nid: 8\n\nidx: 5\ndata: id: 6\n\nid: 9 \n\nid:\n\nid: -1\n\ni\n\n";

        List<EventSplitter.Event> events = split(stream, stream.length());

        assertThat(events.stream().map(EventSplitter.Event::number).toList())
                .containsExactly(8L, -1L, 9L, -1L, -1L, -1L)
                .inOrder();
    }

    /** Guards against an exception in the reader, which would count as a fault of its own. */
    @Test
    void numberThatIsTooLongIsNone() {
        for (String id : List.of("9".repeat(19), "9".repeat(400), "9223372036854775808")) {
            String stream = "id: " + id + "\n\n";

            assertThat(split(stream, stream.length()).get(0).number())
                    .isEqualTo(EventSplitter.NO_NUMBER);
        }
    }

    @Test
    void incompleteEventIsBuffered() {
        EventSplitter splitter = new EventSplitter(UnpooledByteBufAllocator.DEFAULT);

        assertThat(splitter.add(bytes("id: 1\ndata: a\n\nid: 2\nda"))).hasSize(1);

        assertThat(splitter.incompleteBytes()).isEqualTo("id: 2\nda".length());
    }

    private static List<EventSplitter.Event> split(String text, int size) {
        EventSplitter splitter = new EventSplitter(UnpooledByteBufAllocator.DEFAULT);
        List<EventSplitter.Event> events = new ArrayList<>();
        for (int at = 0; at < text.length(); at += size) {
            events.addAll(
                    splitter.add(bytes(text.substring(at, Math.min(text.length(), at + size)))));
        }
        return events;
    }

    private static String joinedText(List<EventSplitter.Event> events) {
        StringBuilder all = new StringBuilder();
        events.forEach(event -> all.append(event.bytes().toString(StandardCharsets.UTF_8)));
        return all.toString();
    }

    private static ByteBuf bytes(String text) {
        return Unpooled.copiedBuffer(text, StandardCharsets.UTF_8);
    }
}
