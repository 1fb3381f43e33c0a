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

import com.fasterxml.jackson.annotation.JsonTypeInfo;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.json.JsonMapper;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import org.quilldyke.Outcome;
import org.quilldyke.QuilldykeException;
import org.quilldyke.ResultCode;
import org.quilldyke.control.Command;
import org.quilldyke.control.Intent;
import org.quilldyke.manifest.FleetCommand;

/**
 * Encodes records as JSON. Sealed interfaces carry a {@code type} field with the record's name.
 *
 * <p>Lenient towards unknown keys, so that a newer version's records can be read by an older one;
 * strict about missing ones.
 */
public final class Json {
    private static final ObjectMapper MAPPER =
            JsonMapper.builder()
                    .disable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES)
                    .enable(DeserializationFeature.FAIL_ON_MISSING_CREATOR_PROPERTIES)
                    .addMixIn(Command.class, Typed.class)
                    .addMixIn(FleetCommand.class, Typed.class)
                    .addMixIn(Intent.class, Typed.class)
                    .build();

    static {
        MAPPER.registerSubtypes(Command.class.getPermittedSubclasses());
        MAPPER.registerSubtypes(FleetCommand.class.getPermittedSubclasses());
        MAPPER.registerSubtypes(Intent.class.getPermittedSubclasses());
    }

    private Json() {}

    /** Returns the bytes of a record. */
    public static byte[] encode(Object value) {
        try {
            return MAPPER.writeValueAsBytes(value);
        } catch (JsonProcessingException e) {
            // Only a record that can't be encoded at all leads here: a fault of the program.
            throw new UncheckedIOException(e);
        }
    }

    /** Returns the bytes of a sealed interface's record, with its type. */
    public static <T> byte[] encodeAs(Class<T> type, T value) {
        try {
            return MAPPER.writerFor(type).writeValueAsBytes(value);
        } catch (JsonProcessingException e) {
            throw new UncheckedIOException(e);
        }
    }

    /** Returns the text of a record. */
    public static String text(Object value) {
        return new String(encode(value), StandardCharsets.UTF_8);
    }

    /**
     * Returns the record that {@code bytes} hold.
     *
     * @throws QuilldykeException {@link ResultCode#MALFORMED_BODY} if they hold none
     */
    public static <T> T decode(byte[] bytes, Class<T> type) throws QuilldykeException {
        try {
            return MAPPER.readValue(bytes, type);
        } catch (IOException e) {
            throw malformed(e);
        }
    }

    /** Returns the tree of a record. */
    public static JsonNode treeOf(Object value) {
        return MAPPER.valueToTree(value);
    }

    private static QuilldykeException malformed(IOException e) {
        String reason = String.valueOf(e.getMessage()).lines().findFirst().orElse("");
        return QuilldykeException.of(ResultCode.MALFORMED_BODY, Outcome.NOT_RUN, reason, e);
    }

    /** Writes the record's simple name beside its fields. */
    @JsonTypeInfo(use = JsonTypeInfo.Id.SIMPLE_NAME, property = "type")
    private interface Typed {}
}
