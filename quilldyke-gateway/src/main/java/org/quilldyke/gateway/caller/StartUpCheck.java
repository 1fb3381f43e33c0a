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
package org.quilldyke.gateway.caller;

import io.netty.handler.codec.http.HttpRequest;
import org.quilldyke.QuilldykeException;
import org.quilldyke.caller.StartUpWait;

/** Checks whether a request waits because the instance has just started. */
final class StartUpCheck {
    private final EntryContext mEntry;
    private final HttpRequest mHead;
    private final long mArrivedAt;
    private long mMillisLeftAtArrival = -1;

    StartUpCheck(EntryContext entry, HttpRequest head, long arrivedAt) {
        mEntry = entry;
        mHead = head;
        mArrivedAt = arrivedAt;
    }

    /**
     * Returns whether the instance is not ready yet and the request can wait until it is.
     *
     * @throws QuilldykeException if the head can't be parsed
     */
    boolean mustWait() throws QuilldykeException {
        if (mEntry.routes() != null && mEntry.keyLease().wasGranted()) {
            return false;
        }
        if (mMillisLeftAtArrival < 0) {
            mMillisLeftAtArrival =
                    mEntry.dialect().callers().read(mHead).millisLeft().orElse(Long.MAX_VALUE);
        }
        return StartUpWait.mayWait(mArrivedAt, mMillisLeftAtArrival, mEntry.now());
    }
}
