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
package org.quilldyke.gateway.settings;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import org.quilldyke.QuilldykeException;
import org.quilldyke.ResultCode;
import org.quilldyke.daemon.settings.StrictJson;

/**
 * A JSON object of the settings. Each key is required, must have its type without coercion, and
 * unknown keys are errors.
 */
final class SettingsObject {
    private final JsonNode mTree;
    private final String mPath;
    private final Set<String> mRead = new HashSet<>();

    private SettingsObject(JsonNode tree, String path) {
        mTree = tree;
        mPath = path;
    }

    static SettingsObject of(JsonNode tree) throws QuilldykeException {
        if (!tree.isObject()) {
            throw StrictJson.refused(ResultCode.SETTINGS_SYNTAX, "", "no object");
        }
        return new SettingsObject(tree, "");
    }

    String text(String key) throws QuilldykeException {
        JsonNode node = value(key);
        require(node.isTextual(), key, "a text");
        return node.asText();
    }

    long integer(String key) throws QuilldykeException {
        JsonNode node = value(key);
        require(node.isIntegralNumber() && node.canConvertToLong(), key, "an integer");
        return node.asLong();
    }

    int smallInteger(String key) throws QuilldykeException {
        JsonNode node = value(key);
        require(node.isIntegralNumber() && node.canConvertToInt(), key, "an integer");
        return node.asInt();
    }

    double number(String key) throws QuilldykeException {
        JsonNode node = value(key);
        require(node.isNumber(), key, "a number");
        return node.asDouble();
    }

    boolean flag(String key) throws QuilldykeException {
        JsonNode node = value(key);
        require(node.isBoolean(), key, "true or false");
        return node.asBoolean();
    }

    List<String> texts(String key) throws QuilldykeException {
        JsonNode node = value(key);
        require(node.isArray(), key, "a list");
        List<String> texts = new ArrayList<>();
        for (JsonNode item : node) {
            require(item.isTextual(), key + "[" + texts.size() + "]", "a text");
            texts.add(item.asText());
        }
        return texts;
    }

    /** Returns an object whose values are texts, with keys of any name. */
    Map<String, String> textsByKey(String key) throws QuilldykeException {
        JsonNode node = value(key);
        require(node.isObject(), key, "an object");
        Map<String, String> texts = new TreeMap<>();
        Iterator<String> names = node.fieldNames();
        while (names.hasNext()) {
            String name = names.next();
            require(node.get(name).isTextual(), key + "." + name, "a text");
            texts.put(name, node.get(name).asText());
        }
        return texts;
    }

    SettingsObject object(String key) throws QuilldykeException {
        JsonNode node = value(key);
        require(node.isObject(), key, "an object");
        return new SettingsObject(node, mPath + key + ".");
    }

    /** Throws an exception if the object has keys that were not read. */
    void end() throws QuilldykeException {
        Iterator<String> names = mTree.fieldNames();
        while (names.hasNext()) {
            String name = names.next();
            if (!mRead.contains(name)) {
                throw StrictJson.refused(
                        ResultCode.SETTINGS_UNKNOWN_KEY, mPath + name, "not a key of the settings");
            }
        }
    }

    /** Returns the exception for a value of the wrong type. */
    QuilldykeException wrong(String key, String wanted) {
        return StrictJson.refused(ResultCode.SETTINGS_TYPE, mPath + key, "is not " + wanted);
    }

    private JsonNode value(String key) throws QuilldykeException {
        mRead.add(key);
        JsonNode node = mTree.path(key);
        if (node.isMissingNode() || node.isNull()) {
            throw StrictJson.refused(ResultCode.SETTINGS_MISSING_KEY, mPath + key, "is missing");
        }
        return node;
    }

    private void require(boolean holds, String key, String wanted) throws QuilldykeException {
        if (!holds) {
            throw wrong(key, wanted);
        }
    }
}
