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
package org.quilldyke.gateway.dialect;

import io.netty.handler.codec.http.HttpRequest;
import org.quilldyke.QuilldykeException;

/** How callers speak. */
public interface CallerDialect {
    /**
     * Reads the headers of a request.
     *
     * @throws QuilldykeException {@link org.quilldyke.ResultCode#BAD_HEADER} if one has a value
     *     that can't be understood
     */
    CallerFacts read(HttpRequest head) throws QuilldykeException;

    /**
     * Returns whether a header is for this system alone to set or to see, so that a caller's isn't
     * passed on.
     */
    boolean isReserved(CharSequence header);
}
