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

import java.util.ArrayList;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * The requests of an entry process that await the decision of a control process on their quota.
 *
 * <p>A control process that doesn't respond in time, or can't decide, is followed by another one.
 * Units that both of them spend for the request are lost to the organisation, but never spent
 * twice.
 */
public final class QuotaInquiries {
    /** {@link #takeDue} is called at this interval while requests wait. */
    public static final long CHECK_MILLIS = 20;

    /** A control process that hasn't responded after this time is followed by another one. */
    static final long RESPONSE_TIMEOUT_MILLIS = 120;

    /** The delay after a control process could not decide. */
    static final long RETRY_MILLIS = 30;

    private final Map<Long, Pending> mPending = new LinkedHashMap<>();
    private long mLastNumber;

    private QuotaInquiries() {}

    /** Returns an instance without requests. */
    public static QuotaInquiries create() {
        return new QuotaInquiries();
    }

    /**
     * Adds a request.
     *
     * @param giveUpAt when the request is refused if no control process has decided
     */
    public void add(QuotaRequest request, long giveUpAt, long now) {
        mLastNumber++;
        mPending.put(mLastNumber, new Pending(request, giveUpAt, now));
    }

    /** Returns the inquiries to send now, and refuses requests that have waited too long. */
    public List<Inquiry> takeDue(long now) {
        List<Inquiry> due = new ArrayList<>();
        List<QuotaRequest> expired = new ArrayList<>();
        Iterator<Map.Entry<Long, Pending>> all = mPending.entrySet().iterator();
        while (all.hasNext()) {
            Map.Entry<Long, Pending> entry = all.next();
            Pending pending = entry.getValue();
            if (now >= pending.mGiveUpAt) {
                expired.add(pending.mRequest);
                all.remove();
            } else if (now >= pending.mNextAt) {
                due.add(new Inquiry(entry.getKey(), pending.mAttempts, pending.mRequest));
                pending.mAttempts++;
                pending.mNextAt = now + RESPONSE_TIMEOUT_MILLIS;
            }
        }
        expired.forEach(request -> request.onVerdict().accept(QuotaVerdict.unavailable()));
        return due;
    }

    /** Handles the decision of a control process. */
    public void onVerdict(long number, QuotaVerdict verdict, long now) {
        Pending pending = mPending.get(number);
        if (pending == null) {
            return;
        }
        if (verdict.kind() == QuotaVerdict.Kind.UNAVAILABLE) {
            pending.mNextAt = Math.min(pending.mNextAt, now + RETRY_MILLIS);
        } else {
            mPending.remove(number);
            pending.mRequest.onVerdict().accept(verdict);
        }
    }

    /** Returns whether no request waits, so that {@link #takeDue} needs not be called. */
    public boolean isEmpty() {
        return mPending.isEmpty();
    }

    /**
     * A message to a control process.
     *
     * @param number identifies the request in the response
     * @param attempt how often the request was sent before
     * @param request the request
     */
    public record Inquiry(long number, int attempt, QuotaRequest request) {}

    private static final class Pending {
        private final QuotaRequest mRequest;
        private final long mGiveUpAt;
        private long mNextAt;
        private int mAttempts;

        Pending(QuotaRequest request, long giveUpAt, long now) {
            mRequest = request;
            mGiveUpAt = giveUpAt;
            mNextAt = now;
        }
    }
}
