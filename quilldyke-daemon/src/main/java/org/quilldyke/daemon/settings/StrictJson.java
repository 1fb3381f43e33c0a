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
package org.quilldyke.daemon.settings;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.JsonMappingException;
import com.fasterxml.jackson.databind.MapperFeature;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.exc.InvalidFormatException;
import com.fasterxml.jackson.databind.exc.MismatchedInputException;
import com.fasterxml.jackson.databind.exc.UnrecognizedPropertyException;
import com.fasterxml.jackson.databind.json.JsonMapper;
import java.io.IOException;
import org.quilldyke.QuilldykeException;
import org.quilldyke.ResultCode;

/** Reads settings that must be exactly as expected: a typing mistake must not become a default. */
public final class StrictJson {
    private static final ObjectMapper MAPPER =
            JsonMapper.builder()
                    .enable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES)
                    .enable(DeserializationFeature.FAIL_ON_MISSING_CREATOR_PROPERTIES)
                    .enable(DeserializationFeature.FAIL_ON_NULL_CREATOR_PROPERTIES)
                    .enable(DeserializationFeature.FAIL_ON_NULL_FOR_PRIMITIVES)
                    .enable(DeserializationFeature.FAIL_ON_TRAILING_TOKENS)
                    .disable(MapperFeature.ALLOW_COERCION_OF_SCALARS)
                    .disable(DeserializationFeature.ACCEPT_FLOAT_AS_INT)
                    .build();

    private StrictJson() {}

    /**
     * Parses a record.
     *
     * @throws QuilldykeException with a code from 4001 to 4005 that says what is wrong and where
     */
    public static <T> T parse(byte[] text, Class<T> type) throws QuilldykeException {
        T value;
        try {
            value = MAPPER.readValue(text, type);
        } catch (UnrecognizedPropertyException e) {
            throw refused(ResultCode.SETTINGS_UNKNOWN_KEY, path(e), "not a key of the settings");
        } catch (InvalidFormatException e) {
            throw refused(ResultCode.SETTINGS_TYPE, path(e), firstLine(e));
        } catch (MismatchedInputException e) {
            boolean missing = e.getMessage().contains("creator property");
            throw refused(
                    missing ? ResultCode.SETTINGS_MISSING_KEY : ResultCode.SETTINGS_TYPE,
                    path(e),
                    firstLine(e));
        } catch (JsonMappingException e) {
            throw refused(ResultCode.SETTINGS_TYPE, path(e), firstLine(e));
        } catch (JsonProcessingException e) {
            throw refused(ResultCode.SETTINGS_SYNTAX, "", firstLine(e));
        } catch (IOException e) {
            throw refused(ResultCode.SETTINGS_UNREADABLE, "", e.toString());
        }
        if (value == null) {
            throw refused(ResultCode.SETTINGS_SYNTAX, "", "null in place of an object");
        }
        return value;
    }

    /** Returns the exception that refuses settings because of the value at a path. */
    public static QuilldykeException refused(ResultCode code, String path, String reason) {
        return QuilldykeException.notRun(code, path + " " + reason);
    }

    private static String path(JsonMappingException e) {
        StringBuilder path = new StringBuilder();
        for (JsonMappingException.Reference step : e.getPath()) {
            if (step.getFieldName() == null) {
                path.append('[').append(step.getIndex()).append(']');
            } else {
                path.append(path.length() == 0 ? "" : ".").append(step.getFieldName());
            }
        }
        return path.toString();
    }

    private static String firstLine(JsonProcessingException e) {
        return e.getOriginalMessage().lines().findFirst().orElse("");
    }
}
