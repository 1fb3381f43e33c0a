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
package org.quilldyke.tools.command;

import org.quilldyke.QuilldykeException;
import org.quilldyke.ResultCode;

/**
 * A range of seeds.
 *
 * @param first the first seed
 * @param last the last seed, included
 */
record Range(long first, long last) {
    /**
     * Returns the range that {@code text} names, {@code A-B} or {@code A}.
     *
     * @throws QuilldykeException {@link ResultCode#BAD_HEADER} if it names none
     */
    static Range parse(String text) throws QuilldykeException {
        String[] ends = text.split("-");
        try {
            long first = Long.parseLong(ends[0]);
            long last = ends.length == 1 ? first : Long.parseLong(ends[1]);
            if (ends.length <= 2 && first <= last) {
                return new Range(first, last);
            }
        } catch (NumberFormatException e) {
            throw QuilldykeException.notRun(ResultCode.BAD_HEADER, "no range: " + text);
        }
        throw QuilldykeException.notRun(ResultCode.BAD_HEADER, "no range: " + text);
    }
}
