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
package org.quilldyke.daemon.engine;

import io.activej.http.HttpHeader;
import io.activej.http.HttpHeaderValue;
import io.activej.http.HttpHeaders;
import io.activej.http.HttpResponse;
import java.util.Map;
import java.util.Optional;
import java.util.regex.Pattern;

/**
 * Checks the heads of answers for what the HTTP client accepts although no grammar allows it (RFC
 * 9110): names with blanks or control bytes, and transfer codings other than chunks, under which
 * the client doesn't find the body.
 */
final class AnswerHeadCheck {
    private static final int FIRST_FINAL_STATUS = 200;
    private static final String CHUNKED = "chunked";
    private static final Pattern FIELD_NAME = Pattern.compile("[!#$%&'*+.^_`|~0-9A-Za-z-]+");

    private AnswerHeadCheck() {}

    /** Returns what is wrong with a head, empty if nothing is. */
    static Optional<String> fault(HttpResponse head) {
        if (head.getCode() < FIRST_FINAL_STATUS) {
            return Optional.of("status " + head.getCode());
        }
        int codings = 0;
        for (Map.Entry<HttpHeader, HttpHeaderValue> header : head.getHeaders()) {
            String name = header.getKey().toString();
            if (!FIELD_NAME.matcher(name).matches()) {
                return Optional.of("invalid field name");
            }
            if (name.equalsIgnoreCase(HttpHeaders.TRANSFER_ENCODING.toString())) {
                codings++;
                String coding = header.getValue().toString().trim();
                if (codings > 1 || !coding.equalsIgnoreCase(CHUNKED)) {
                    return Optional.of("transfer coding " + coding);
                }
            }
        }
        return Optional.empty();
    }
}
