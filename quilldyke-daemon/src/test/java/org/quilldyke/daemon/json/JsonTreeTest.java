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
package org.quilldyke.daemon.json;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.FutureTask;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Test;
import org.quilldyke.QuilldykeException;
import org.quilldyke.ResultCode;

class JsonTreeTest {
    private static final String TEXT =
            "{\"a\":[1,-2.5,12345678901,1e3,true,false,null,\"x\\u00e9\\n\"],\"b\":{\"c\":{}},"
                    + "\"n\":123456789012345678901234567890}";

    @Test
    void treeIsTheOneThatTheMapperReads() throws Exception {
        JsonNode expected = new ObjectMapper().readTree(TEXT);
        assertThat(JsonTree.read(bytes(TEXT))).isEqualTo(expected);
        assertThat(JsonTree.readStrictly(bytes(TEXT))).isEqualTo(expected);
        assertThat(new ObjectMapper().readTree(JsonTree.write(expected))).isEqualTo(expected);
    }

    @Test
    void whatIsNotWholeIsRefused() {
        for (String text : new String[] {"", "{", "[1,", "{\"a\":}", "{\"a\"", "nul", "]"}) {
            QuilldykeException e =
                    assertThrows(QuilldykeException.class, () -> JsonTree.read(bytes(text)), text);
            assertThat(e.code()).isEqualTo(ResultCode.MALFORMED_BODY);
            assertThrows(IOException.class, () -> JsonTree.readStrictly(bytes(text)), text);
        }
    }

    @Test
    void strictReadingTakesNothingTwiceAndNothingBehind() {
        assertThrows(IOException.class, () -> JsonTree.readStrictly(bytes("{\"a\":1,\"a\":2}")));
        assertThrows(IOException.class, () -> JsonTree.readStrictly(bytes("{} {}")));
    }

    /** The parser takes an overlong form for the character that it stands for. */
    @Test
    void strictReadingTakesNoOtherFormOfACharacter() throws Exception {
        byte[] good = bytes("[\"" + "\u00e9\ud83d\ude00".repeat(9000) + "abcd\"]");
        assertThat(JsonTree.readStrictly(good).isArray()).isTrue();
        int[][] wrong = {{0xc0, 0xaf}, {0xe0, 0x80, 0xaf}, {0xed, 0xa0, 0x80}, {0xff}, {0xc3}};
        for (int[] form : wrong) {
            byte[] bad = good.clone();
            for (int i = 0; i < form.length; i++) {
                bad[bad.length - 2 - form.length + i] = (byte) form[i];
            }
            assertThrows(IOException.class, () -> JsonTree.readStrictly(bad));
        }
    }

    /** What is nested without end overflowed the stack of a small thread. */
    @Test
    void deepNestingIsRefusedOnASmallStack() throws Exception {
        FutureTask<Void> task = new FutureTask<>(JsonTreeTest::readNested, null);
        new Thread(null, task, "small", 256 << 10).start();
        task.get();
    }

    private static void readNested() {
        for (int depth : new int[] {JsonTree.MAX_DEPTH + 1, 999, 100_000}) {
            byte[] nested = bytes("[".repeat(depth) + "]".repeat(depth));
            assertThrows(QuilldykeException.class, () -> JsonTree.read(nested));
            assertThrows(IOException.class, () -> JsonTree.readStrictly(nested));
        }
    }

    @Property(tries = 2000, seed = "81")
    void anyBytesAreReadOrRefused(@ForAll byte[] bytes) throws Exception {
        try {
            assertThat(JsonTree.read(bytes)).isNotNull();
        } catch (QuilldykeException e) {
            assertThat(e.code()).isEqualTo(ResultCode.MALFORMED_BODY);
        }
    }

    private static byte[] bytes(String text) {
        return text.getBytes(StandardCharsets.UTF_8);
    }
}
