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
package org.quilldyke.control;

import java.util.Collections;
import java.util.HashMap;
import java.util.Map;
import java.util.SortedMap;
import java.util.TreeMap;
import java.util.TreeSet;
import org.quilldyke.ResultCode;

/** The claims of requests that must not run twice, until they expire. */
final class ClaimTable {
    private final Map<String, Claim> mClaims = new HashMap<>();
    private final TreeMap<Long, TreeSet<String>> mByExpiry = new TreeMap<>();

    private ClaimTable() {}

    static ClaimTable create() {
        return new ClaimTable();
    }

    /** Grants a claim, or returns the outcome of the request that holds it. */
    Result claim(Command.ClaimRun c, long now) {
        String id = id(c.organisation(), c.key());
        Claim existing = mClaims.get(id);
        if (existing == null) {
            Claim claim =
                    new Claim(
                            c.fingerprint(),
                            c.requestId(),
                            Claim.State.CLAIMED,
                            0,
                            "",
                            "",
                            now + c.keepMillis(),
                            now + c.runMillis());
            put(id, claim);
            return new Result(ResultCode.OK, claim);
        }
        if (!existing.fingerprint().equals(c.fingerprint())) {
            return new Result(ResultCode.KEY_REUSED, existing);
        }
        if (existing.state() == Claim.State.CLAIMED) {
            return claimUnfinished(id, existing, c, now);
        }
        boolean answered = existing.state() == Claim.State.ANSWERED;
        return new Result(answered ? ResultCode.OK : ResultCode.RUN_UNKNOWN, existing);
    }

    /** Removes a claim whose request did not run. */
    Result release(Command.ReleaseClaim c) {
        String id = id(c.organisation(), c.key());
        Claim existing = mClaims.get(id);
        if (existing != null
                && existing.requestId().equals(c.requestId())
                && existing.state() == Claim.State.CLAIMED) {
            remove(id, existing);
        }
        return new Result(ResultCode.OK, null);
    }

    /** Stores the answer of a claimed run, or that its outcome is unknown. */
    Result close(Command.CloseClaim c) {
        String id = id(c.organisation(), c.key());
        Claim existing = mClaims.get(id);
        if (existing == null || !existing.requestId().equals(c.requestId())) {
            return new Result(ResultCode.RUN_UNKNOWN, existing);
        }
        if (existing.state() == Claim.State.ANSWERED) {
            return new Result(ResultCode.OK, existing);
        }
        Claim closed =
                c.status() == 0
                        ? existing.unknown()
                        : existing.answered(c.status(), c.answer(), c.contentType());
        mClaims.put(id, closed);
        return new Result(ResultCode.OK, closed);
    }

    /** Removes the expired claims. */
    void expire(long now) {
        while (!mByExpiry.isEmpty() && mByExpiry.firstKey() <= now) {
            mByExpiry.pollFirstEntry().getValue().forEach(mClaims::remove);
        }
    }

    void put(String id, Claim claim) {
        mClaims.put(id, claim);
        mByExpiry.computeIfAbsent(claim.expiresAt(), t -> new TreeSet<>()).add(id);
    }

    SortedMap<String, Claim> entries() {
        return Collections.unmodifiableSortedMap(new TreeMap<>(mClaims));
    }

    int size() {
        return mClaims.size();
    }

    private Result claimUnfinished(String id, Claim existing, Command.ClaimRun c, long now) {
        if (existing.requestId().equals(c.requestId())) {
            // A resend, since the reply to the first claim was lost: the request may run, once.
            return new Result(ResultCode.OK, existing);
        }
        if (now < existing.runningUntil()) {
            return new Result(ResultCode.RUN_IN_PROGRESS, existing);
        }
        Claim unknown = existing.unknown();
        mClaims.put(id, unknown);
        return new Result(ResultCode.RUN_UNKNOWN, unknown);
    }

    private void remove(String id, Claim claim) {
        mClaims.remove(id);
        TreeSet<String> sameExpiry = mByExpiry.get(claim.expiresAt());
        sameExpiry.remove(id);
        if (sameExpiry.isEmpty()) {
            mByExpiry.remove(claim.expiresAt());
        }
    }

    private static String id(String organisation, String key) {
        return organisation + "/" + key;
    }

    /** The result of a command on a claim. */
    record Result(ResultCode code, Claim claim) {}
}
