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

import io.activej.bytebuf.ByteBuf;
import io.activej.csp.supplier.AbstractChannelSupplier;
import io.activej.promise.Promise;
import io.activej.promise.SettablePromise;
import org.quilldyke.QuilldykeException;

/** The events of an answer, pulled by its caller; a shutdown ends them amid a wait for more. */
abstract class EventBody extends AbstractChannelSupplier<ByteBuf> {
    private SettablePromise<ByteBuf> mPull;
    private ByteBuf mLast;
    private boolean mCut;

    /** Returns the next events, or null after the last. */
    abstract Promise<ByteBuf> pull();

    /** Ends the events by one that tells why, at once if the caller waits. */
    final void cut(QuilldykeException e) {
        mCut = true;
        ByteBuf last = Answers.errorEvent(e);
        if (mPull == null || !mPull.trySet(last)) {
            mLast = last;
        }
    }

    @Override
    protected final Promise<ByteBuf> doGet() {
        if (mCut) {
            ByteBuf last = mLast;
            mLast = null;
            return Promise.of(last);
        }
        Promise<ByteBuf> next = pull();
        if (next.isComplete()) {
            return next;
        }
        SettablePromise<ByteBuf> pull = new SettablePromise<>();
        mPull = pull;
        next.subscribe(
                (events, e) -> {
                    if (e == null) {
                        pull.trySet(events);
                    } else {
                        pull.trySetException(e);
                    }
                });
        return pull;
    }
}
