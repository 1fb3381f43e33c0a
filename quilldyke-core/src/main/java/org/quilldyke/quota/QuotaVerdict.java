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
package org.quilldyke.quota;

/**
 * The decision on a request of an organisation that has a quota.
 *
 * @param kind the decision
 * @param retryAfterMillis when a refused request may be admitted, 0 if unknown
 */
public record QuotaVerdict(Kind kind, long retryAfterMillis) {
    /** The decision. */
    public enum Kind {
        /** The request may be sent; its units are spent. */
        ADMITTED,
        /** The organisation has used up its quota. */
        OVER_LIMIT,
        /** Whether the organisation is below its quota can't be determined now. */
        UNAVAILABLE
    }

    /** Returns the verdict that admits a request. */
    public static QuotaVerdict admitted() {
        return new QuotaVerdict(Kind.ADMITTED, 0);
    }

    /** Returns the verdict that refuses a request of an organisation that is over its quota. */
    public static QuotaVerdict overLimit(long retryAfterMillis) {
        return new QuotaVerdict(Kind.OVER_LIMIT, retryAfterMillis);
    }

    /** Returns the verdict on a request whose quota can't be determined. */
    public static QuotaVerdict unavailable() {
        return new QuotaVerdict(Kind.UNAVAILABLE, 0);
    }
}
