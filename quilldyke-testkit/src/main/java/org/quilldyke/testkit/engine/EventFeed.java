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
package org.quilldyke.testkit.engine;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.activej.bytebuf.ByteBuf;
import io.activej.csp.supplier.AbstractChannelSupplier;
import io.activej.promise.Promise;
import io.activej.promise.SettablePromise;
import io.activej.reactor.Reactor;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Random;
import org.quilldyke.testkit.http.Json;

/** The cache events of an engine as others see them: late, and with some lost. */
final class EventFeed {
    private final Reactor mReactor;
    private final int mLagMillis;
    private final int mLossPerMille;
    private final Random mRandom;
    private final List<Subscriber> mSubscribers = new ArrayList<>();
    private long mSequence;

    EventFeed(Reactor reactor, int lagMillis, int lossPerMille, Random random) {
        mReactor = reactor;
        mLagMillis = lagMillis;
        mLossPerMille = lossPerMille;
        mRandom = random;
    }

    long sequence() {
        return mSequence;
    }

    void publish(String kind, Collection<Long> keys) {
        if (keys.isEmpty() && !kind.equals("CLEARED")) {
            return;
        }
        mSequence++;
        if (mRandom.nextInt(1000) < mLossPerMille) {
            return;
        }
        ObjectNode event = Json.object();
        event.put("sequence", mSequence).put("kind", kind);
        ArrayNode list = event.putArray("keys");
        keys.forEach(key -> list.add(Long.toHexString(key)));
        String text = "data: " + Json.text(event) + "\n\n";
        mReactor.delayBackground(
                mLagMillis, () -> List.copyOf(mSubscribers).forEach(s -> s.add(text)));
    }

    /** Returns a stream of the events from now on. */
    AbstractChannelSupplier<ByteBuf> subscribe() {
        Subscriber subscriber = new Subscriber();
        mSubscribers.add(subscriber);
        return subscriber;
    }

    /** One open event stream. */
    private final class Subscriber extends AbstractChannelSupplier<ByteBuf> {
        private final StringBuilder mPending = new StringBuilder(": open\n\n");
        private SettablePromise<ByteBuf> mWaiting;

        void add(String text) {
            mPending.append(text);
            if (mWaiting != null) {
                SettablePromise<ByteBuf> waiting = mWaiting;
                mWaiting = null;
                waiting.set(take());
            }
        }

        @Override
        protected Promise<ByteBuf> doGet() {
            if (mPending.length() > 0) {
                return Promise.of(take());
            }
            mWaiting = new SettablePromise<>();
            return mWaiting;
        }

        @Override
        protected void onClosed(Exception e) {
            mSubscribers.remove(this);
            if (mWaiting != null) {
                mWaiting.trySetException(e);
            }
        }

        private ByteBuf take() {
            byte[] bytes = mPending.toString().getBytes(StandardCharsets.UTF_8);
            mPending.setLength(0);
            return ByteBuf.wrapForReading(bytes);
        }
    }
}
