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
package org.quilldyke.caller;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;

/**
 * Identifies what several requests have in common: their whole content, or one part of their
 * prompts. Attempts at the same request have different ids and the same fingerprint.
 *
 * @param kind what they have in common
 * @param high the first 64 bits of a SHA-256 digest over caller, method, host, path and body, or
 *     the id of the part
 * @param low the next 64 bits of the digest, or 0
 */
public record RequestFingerprint(Kind kind, long high, long low) {
    private static final String ALGORITHM = "SHA-256";

    /** What requests have in common. */
    public enum Kind {
        /** Everything. */
        REQUEST {
            @Override
            int minCrashesToRefuse() {
                return PoisonRequestDetector.MIN_CRASHES_TO_REFUSE;
            }

            @Override
            long recentCompletionMillis() {
                return PoisonRequestDetector.RECENT_COMPLETION_MILLIS;
            }

            @Override
            String label(long high) {
                return HexFormat.of().toHexDigits(high);
            }
        },
        /** A part of the prompt, whoever sends it. */
        PROMPT_PART {
            /** One more than for a request: a single request can be at several crashes. */
            @Override
            int minCrashesToRefuse() {
                return PoisonRequestDetector.MIN_CRASHES_TO_REFUSE + 1;
            }

            /**
             * Longer than an outage of all targets: a refusal of a part that many requests share
             * would prolong it.
             */
            @Override
            long recentCompletionMillis() {
                return 2 * 60_000;
            }

            @Override
            String label(long high) {
                return "part-" + Long.toHexString(high);
            }
        };

        /** Returns the number of crashes from which on requests are refused. */
        abstract int minCrashesToRefuse();

        /** Returns for how long after a completion crashes are attributed to others. */
        abstract long recentCompletionMillis();

        abstract String label(long high);
    }

    /** Creates the fingerprint of a request from the two halves of its digest. */
    public RequestFingerprint(long high, long low) {
        this(Kind.REQUEST, high, low);
    }

    /**
     * Returns the fingerprint of a request.
     *
     * @param organisation the organisation of the caller's key, empty without a key
     * @param method the method
     * @param host the requested host
     * @param path the path with its query
     * @param body the body, whose position is not changed
     */
    public static RequestFingerprint of(
            String organisation, String method, String host, String path, ByteBuffer body) {
        MessageDigest digest = newDigest();
        for (String part : new String[] {organisation, method, host, path}) {
            byte[] bytes = part.getBytes(StandardCharsets.UTF_8);
            // The length comes first, so that different lists of parts never give the same bytes.
            digest.update(ByteBuffer.allocate(Integer.BYTES).putInt(0, bytes.length));
            digest.update(bytes);
        }
        digest.update(body.duplicate());
        ByteBuffer hash = ByteBuffer.wrap(digest.digest());
        return new RequestFingerprint(hash.getLong(), hash.getLong());
    }

    /**
     * Returns the fingerprint of a part of prompts. It is the same for all callers: a part that
     * crashes targets does so whoever sends it.
     */
    public static RequestFingerprint ofPromptPart(long id) {
        return new RequestFingerprint(Kind.PROMPT_PART, id, 0);
    }

    /** Returns the form used in logs. */
    public String label() {
        return kind.label(high);
    }

    private static MessageDigest newDigest() {
        try {
            return MessageDigest.getInstance(ALGORITHM);
        } catch (NoSuchAlgorithmException e) {
            throw new AssertionError("every Java platform has SHA-256", e);
        }
    }
}
