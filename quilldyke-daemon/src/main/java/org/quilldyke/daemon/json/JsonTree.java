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

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import com.fasterxml.jackson.core.JsonParseException;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import com.fasterxml.jackson.core.StreamReadConstraints;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.BaseJsonNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.ByteBuffer;
import java.nio.CharBuffer;
import java.nio.charset.CharacterCodingException;
import java.nio.charset.CharsetDecoder;
import java.nio.charset.CoderResult;
import java.nio.charset.StandardCharsets;
import java.util.Iterator;
import java.util.Map;
import org.quilldyke.Outcome;
import org.quilldyke.QuilldykeException;
import org.quilldyke.ResultCode;

/**
 * Reads and writes JSON as trees, token by token.
 *
 * <p>What a start needs goes this way: the mapper that {@link Json} uses looks into records by
 * reflection, and takes a tenth of a second of a start to be made.
 */
public final class JsonTree {
    /**
     * Trees are read by recursion: a thousand levels, the parser's own limit, overflow a stack of
     * 256 KB.
     */
    static final int MAX_DEPTH = 200;

    private static final int CHECKED_CHARS = 8192;

    private static final JsonFactory LENIENT = factory();
    private static final JsonFactory STRICT =
            factory().enable(JsonParser.Feature.STRICT_DUPLICATE_DETECTION);
    private static final JsonNodeFactory NODES = JsonNodeFactory.instance;

    private JsonTree() {}

    /** Returns a new, empty object. */
    public static ObjectNode object() {
        return NODES.objectNode();
    }

    /**
     * Returns the tree that {@code bytes} begin with.
     *
     * @throws QuilldykeException {@link ResultCode#MALFORMED_BODY} if they aren't JSON
     */
    public static JsonNode read(byte[] bytes) throws QuilldykeException {
        try (JsonParser parser = LENIENT.createParser(bytes)) {
            parser.nextToken();
            return value(parser);
        } catch (IOException e) {
            String reason = String.valueOf(e.getMessage()).lines().findFirst().orElse("");
            throw QuilldykeException.of(ResultCode.MALFORMED_BODY, Outcome.NOT_RUN, reason, e);
        }
    }

    /**
     * Returns the tree that {@code bytes} hold, and nothing besides; no key may come twice, and all
     * text is UTF-8 in its one right form.
     *
     * @throws IOException if they hold anything else; its message says where
     */
    public static JsonNode readStrictly(byte[] bytes) throws IOException {
        checkUtf8(bytes);
        try (JsonParser parser = STRICT.createParser(bytes)) {
            parser.nextToken();
            JsonNode tree = value(parser);
            if (parser.nextToken() != null) {
                throw new JsonParseException(parser, "Trailing token " + parser.currentToken());
            }
            return tree;
        }
    }

    /** Returns the bytes of a tree. */
    public static byte[] write(JsonNode tree) {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        try (JsonGenerator generator = LENIENT.createGenerator(out)) {
            write(tree, generator);
        } catch (IOException e) {
            // Memory can't fail to be written.
            throw new UncheckedIOException(e);
        }
        return out.toByteArray();
    }

    /** The parser takes some characters in more bytes than they need, and halves of pairs. */
    private static void checkUtf8(byte[] bytes) throws CharacterCodingException {
        CharsetDecoder decoder = StandardCharsets.UTF_8.newDecoder();
        ByteBuffer in = ByteBuffer.wrap(bytes);
        CharBuffer out = CharBuffer.allocate(Math.min(CHECKED_CHARS, bytes.length + 1));
        CoderResult result;
        while ((result = decoder.decode(in, out, true)).isOverflow()) {
            out.clear();
        }
        if (result.isError()) {
            result.throwException();
        }
    }

    private static JsonFactory factory() {
        StreamReadConstraints limits =
                StreamReadConstraints.builder().maxNestingDepth(MAX_DEPTH).build();
        return JsonFactory.builder().streamReadConstraints(limits).build();
    }

    private static void write(JsonNode tree, JsonGenerator out) throws IOException {
        if (tree.isObject()) {
            out.writeStartObject();
            Iterator<Map.Entry<String, JsonNode>> fields = tree.fields();
            while (fields.hasNext()) {
                Map.Entry<String, JsonNode> field = fields.next();
                out.writeFieldName(field.getKey());
                write(field.getValue(), out);
            }
            out.writeEndObject();
        } else if (tree.isArray()) {
            out.writeStartArray();
            for (JsonNode item : tree) {
                write(item, out);
            }
            out.writeEndArray();
        } else if (tree.isNull()) {
            out.writeNull();
        } else if (tree.isBinary()) {
            out.writeBinary(tree.binaryValue());
        } else {
            // Nothing is looked up for a single value.
            ((BaseJsonNode) tree).serialize(out, null);
        }
    }

    private static JsonNode value(JsonParser parser) throws IOException {
        JsonToken token = parser.currentToken();
        if (token == null) {
            throw new JsonParseException(parser, "Unexpected end of input");
        }
        return switch (token) {
            case START_OBJECT -> objectOf(parser);
            case START_ARRAY -> arrayOf(parser);
            case VALUE_STRING -> NODES.textNode(parser.getText());
            case VALUE_NUMBER_INT -> integerOf(parser);
            case VALUE_NUMBER_FLOAT -> NODES.numberNode(parser.getDoubleValue());
            case VALUE_TRUE -> NODES.booleanNode(true);
            case VALUE_FALSE -> NODES.booleanNode(false);
            case VALUE_NULL -> NODES.nullNode();
            default -> throw new JsonParseException(parser, "Unexpected token " + token);
        };
    }

    private static ObjectNode objectOf(JsonParser parser) throws IOException {
        ObjectNode object = NODES.objectNode();
        while (parser.nextToken() != JsonToken.END_OBJECT) {
            String name = parser.currentName();
            parser.nextToken();
            object.set(name, value(parser));
        }
        return object;
    }

    private static ArrayNode arrayOf(JsonParser parser) throws IOException {
        ArrayNode array = NODES.arrayNode();
        while (parser.nextToken() != JsonToken.END_ARRAY) {
            array.add(value(parser));
        }
        return array;
    }

    private static JsonNode integerOf(JsonParser parser) throws IOException {
        return switch (parser.getNumberType()) {
            case INT -> NODES.numberNode(parser.getIntValue());
            case LONG -> NODES.numberNode(parser.getLongValue());
            default -> NODES.numberNode(parser.getBigIntegerValue());
        };
    }
}
