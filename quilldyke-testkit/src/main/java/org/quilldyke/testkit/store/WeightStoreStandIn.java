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
package org.quilldyke.testkit.store;

import io.activej.http.HttpMethod;
import io.activej.http.HttpRequest;
import io.activej.http.HttpResponse;
import io.activej.http.RoutingServlet;
import io.activej.promise.Promise;
import io.activej.promise.SettablePromise;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.quilldyke.testkit.http.Json;
import org.quilldyke.testkit.http.StandInHost;

/**
 * A rate-limited store of weights: {@code GET /weights/MODEL/VERSION} answers when the weights
 * would have been read.
 *
 * <p>Two readers get the full rate each; more share what two would get, so that each takes longer.
 */
public final class WeightStoreStandIn {
    private static final int STEP_MILLIS = 5;
    private static final int FULL_RATE_READERS = 2;

    private final StandInHost mHost;
    private final double mLoadMillis;
    private final List<Read> mReads = new ArrayList<>();
    private volatile int mMostAtOnce;
    private long mLastStep;

    private WeightStoreStandIn(StandInHost host, double loadMillis) {
        mHost = host;
        mLoadMillis = loadMillis;
    }

    /**
     * Starts a store.
     *
     * @param address where it listens, {@code IP:port}
     * @param loadMillis how long a read takes at the full rate
     * @throws IOException if the address can't be bound
     */
    public static WeightStoreStandIn start(String address, int loadMillis) throws IOException {
        WeightStoreStandIn store =
                new WeightStoreStandIn(StandInHost.at("weight-store", address), loadMillis);
        store.mHost.start(
                RoutingServlet.builder(store.mHost.reactor())
                        .with(HttpMethod.GET, "/weights/:model/:version", store::read)
                        .build());
        store.mHost.call(
                () -> {
                    store.mLastStep = store.mHost.reactor().currentTimeMillis();
                    store.step();
                });
        return store;
    }

    /** Returns the largest number of reads that were under way at once. */
    public int mostAtOnce() {
        return mMostAtOnce;
    }

    /** Stops at once. */
    public void kill() {
        mHost.kill();
    }

    private Promise<HttpResponse> read(HttpRequest request) {
        Read read = new Read(mLoadMillis);
        mReads.add(read);
        mMostAtOnce = Math.max(mMostAtOnce, mReads.size());
        return read.mDone.then(
                v ->
                        Json.response(
                                200,
                                Map.of(
                                        "model",
                                        request.getPathParameter("model"),
                                        "version",
                                        request.getPathParameter("version"))));
    }

    private void step() {
        mHost.reactor().delayBackground(STEP_MILLIS, this::step);
        long now = mHost.reactor().currentTimeMillis();
        double share = Math.min(1, (double) FULL_RATE_READERS / Math.max(1, mReads.size()));
        double done = (now - mLastStep) * share;
        mLastStep = now;
        for (Read read : List.copyOf(mReads)) {
            read.mLeft -= done;
            if (read.mLeft <= 0) {
                mReads.remove(read);
                read.mDone.set(null);
            }
        }
    }

    private static final class Read {
        final SettablePromise<Void> mDone = new SettablePromise<>();
        double mLeft;

        Read(double left) {
            mLeft = left;
        }
    }
}
