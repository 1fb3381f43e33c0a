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

import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;
import org.quilldyke.QuilldykeException;
import org.quilldyke.ResultCode;
import org.quilldyke.control.Configuration;

/** Counts the open requests of this instance, and refuses more than its limits allow. */
public final class Admission {
    private static final long RETRY_AFTER_MILLIS = 1000;

    private final int mLimit;
    private final AtomicInteger mOpen = new AtomicInteger();
    private final Map<String, AtomicInteger> mByOrganisation = new ConcurrentHashMap<>();

    private Admission(int limit) {
        mLimit = limit;
    }

    /** Returns an admission that lets {@code limit} requests be open at once. */
    public static Admission create(int limit) {
        return new Admission(limit);
    }

    /**
     * Admits a request; call {@link #leave} at its end.
     *
     * @throws QuilldykeException {@link ResultCode#OVERLOADED} or {@link
     *     ResultCode#ORGANISATION_LIMIT}
     */
    public void enter(Configuration.Organisation organisation) throws QuilldykeException {
        if (mOpen.incrementAndGet() > mLimit) {
            mOpen.decrementAndGet();
            throw QuilldykeException.notRunRetryAfter(
                    ResultCode.OVERLOADED, "instance", RETRY_AFTER_MILLIS);
        }
        int limit = organisation.maxConcurrent();
        if (counter(organisation).incrementAndGet() > limit && limit > 0) {
            leave(organisation);
            throw QuilldykeException.notRunRetryAfter(
                    ResultCode.ORGANISATION_LIMIT, organisation.name(), RETRY_AFTER_MILLIS);
        }
    }

    /** Notes the end of a request. */
    public void leave(Configuration.Organisation organisation) {
        counter(organisation).decrementAndGet();
        mOpen.decrementAndGet();
    }

    /** Returns the number of open requests. */
    public int open() {
        return mOpen.get();
    }

    private AtomicInteger counter(Configuration.Organisation organisation) {
        return mByOrganisation.computeIfAbsent(organisation.name(), o -> new AtomicInteger());
    }
}
