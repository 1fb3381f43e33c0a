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
package org.quilldyke.daemon.caller;

import io.activej.http.HttpHeader;
import io.activej.http.HttpHeaders;
import io.activej.http.HttpRequest;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;
import org.quilldyke.QuilldykeException;
import org.quilldyke.ResultCode;
import org.quilldyke.control.Configuration;

/** The headers that callers send, read strictly: a value out of range is refused, not ignored. */
public final class CallerHeaders {
    /** Names a request, so that a repeat of it is noticed. */
    public static final HttpHeader KEY = HttpHeaders.of("Idempotency-Key");

    /** {@code false} if the request must not run more than once. */
    public static final HttpHeader REPEATABLE = HttpHeaders.of("Quilldyke-Repeatable");

    /** After how many milliseconds the answer is of no more use. */
    public static final HttpHeader DEADLINE = HttpHeaders.of("Quilldyke-Deadline-Ms");

    /** The last event that a caller has, when it resumes a stream. */
    public static final HttpHeader LAST_EVENT_ID = HttpHeaders.of("Last-Event-ID");

    private static final HttpHeader PRIORITY = HttpHeaders.of("Priority");
    private static final String BEARER = "Bearer ";
    private static final int DEFAULT_URGENCY = 3;
    private static final int MAX_KEY_CHARS = 255;
    private static final long MAX_DEADLINE_MILLIS = 86_400_000;

    private CallerHeaders() {}

    /** Returns the organisation whose token the request carries. */
    public static Configuration.Organisation organisation(
            HttpRequest request, Configuration configuration) throws QuilldykeException {
        String token = bearer(request);
        if (token.isEmpty()) {
            throw QuilldykeException.notRun(ResultCode.MISSING_TOKEN, "");
        }
        Configuration.Organisation found = configuration.organisationOf(sha256(token));
        if (found == null) {
            throw QuilldykeException.notRun(ResultCode.UNKNOWN_TOKEN, "");
        }
        return found;
    }

    /** Returns the bearer token, empty if there is none. */
    public static String bearer(HttpRequest request) {
        String header = request.getHeader(HttpHeaders.AUTHORIZATION);
        return header != null && header.startsWith(BEARER)
                ? header.substring(BEARER.length()).trim()
                : "";
    }

    /** Returns the urgency, 3 if the request names none (RFC 9218, section 4.1). */
    static int urgency(HttpRequest request) throws QuilldykeException {
        String header = request.getHeader(PRIORITY);
        if (header == null) {
            return DEFAULT_URGENCY;
        }
        for (String part : header.split(",")) {
            String item = part.trim();
            if (item.startsWith("u=")) {
                if (!item.matches("u=[0-7]")) {
                    throw bad("Priority", header);
                }
                return item.charAt(2) - '0';
            }
        }
        return DEFAULT_URGENCY;
    }

    /** Returns the deadline on this process's clock, {@link Long#MAX_VALUE} for none. */
    static long deadlineAt(HttpRequest request, long now) throws QuilldykeException {
        String header = request.getHeader(DEADLINE);
        if (header == null) {
            return Long.MAX_VALUE;
        }
        try {
            long millis = Long.parseLong(header.trim());
            if (millis > 0 && millis <= MAX_DEADLINE_MILLIS) {
                return now + millis;
            }
        } catch (NumberFormatException e) {
            throw bad("Quilldyke-Deadline-Ms", header);
        }
        throw bad("Quilldyke-Deadline-Ms", header);
    }

    /** Returns the idempotency key, empty if there is none. */
    public static String key(HttpRequest request) throws QuilldykeException {
        String header = request.getHeader(KEY);
        if (header == null) {
            return "";
        }
        if (header.isBlank() || header.length() > MAX_KEY_CHARS) {
            throw bad("Idempotency-Key", header);
        }
        return header;
    }

    /** Returns whether the request may run more than once, {@code otherwise} if it doesn't say. */
    public static boolean repeatable(HttpRequest request, boolean otherwise)
            throws QuilldykeException {
        String header = request.getHeader(REPEATABLE);
        if (header == null) {
            return otherwise;
        }
        return switch (header.trim()) {
            case "true" -> true;
            case "false" -> false;
            default -> throw bad("Quilldyke-Repeatable", header);
        };
    }

    /** Returns the SHA-256 of a text, in lower-case hex. */
    public static String sha256(String text) {
        return sha256(text.getBytes(StandardCharsets.UTF_8));
    }

    /** Returns the SHA-256 of bytes, in lower-case hex. */
    public static String sha256(byte[] bytes) {
        try {
            MessageDigest digest = MessageDigest.getInstance("SHA-256");
            return HexFormat.of().formatHex(digest.digest(bytes));
        } catch (NoSuchAlgorithmException e) {
            // Every Java platform has SHA-256.
            throw new IllegalStateException(e);
        }
    }

    private static QuilldykeException bad(String name, String value) {
        return QuilldykeException.notRun(ResultCode.BAD_HEADER, name + ": " + value);
    }
}
