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
package org.quilldyke.testkit.http;

import io.activej.http.HttpRequest;
import io.activej.promise.Promise;
import java.io.IOException;
import java.util.List;
import java.util.function.Supplier;
import org.quilldyke.engine.TargetRecord;

/**
 * Announces a target and renews its lease, through what stands for the platform's balancer: the
 * instances in turn, leaving out those that don't answer.
 */
public final class Announcer {
    private static final long RENEW_MILLIS = 1000;
    private static final long RETRY_MILLIS = 200;

    private final StandInHost mHost;
    private final List<String> mInstances;
    private final Supplier<TargetRecord> mRecord;
    private int mNext;
    private long mSequence;
    private boolean mStopped;

    private Announcer(StandInHost host, List<String> instances, Supplier<TargetRecord> record) {
        mHost = host;
        mInstances = List.copyOf(instances);
        mRecord = record;
        mNext = Math.floorMod(record.get().id().hashCode(), Math.max(1, instances.size()));
    }

    /**
     * Starts to announce; call it on the host's event loop.
     *
     * @param host the target's host
     * @param instances addresses of entry instances, {@code IP:port}
     * @param record gives the present record; its sequence is set here
     */
    public static Announcer start(
            StandInHost host, List<String> instances, Supplier<TargetRecord> record) {
        Announcer announcer = new Announcer(host, instances, record);
        announcer.renew();
        return announcer;
    }

    /** Announces at once, since the record has changed. */
    public void announceNow() {
        send(0);
    }

    /** Stops renewing, so that the lease lapses. */
    public void stop() {
        mStopped = true;
    }

    private void renew() {
        if (mStopped || mInstances.isEmpty()) {
            return;
        }
        send(0);
        mHost.reactor().delayBackground(RENEW_MILLIS, this::renew);
    }

    private void send(int failures) {
        if (mStopped || failures >= 2 * mInstances.size()) {
            return;
        }
        mSequence++;
        String instance = mInstances.get(mNext++ % mInstances.size());
        byte[] body = Json.bytes(mRecord.get().withSequence(mSequence));
        HttpRequest request =
                HttpRequest.post("http://" + instance + "/targets/announce").withBody(body).build();
        mHost.client()
                .request(request)
                .then(response -> response.loadBody().map(b -> response.getCode()))
                .then(
                        code ->
                                code == 200
                                        ? Promise.complete()
                                        : Promise.ofException(new IOException("refused")))
                .whenException(
                        e ->
                                mHost.reactor()
                                        .delayBackground(RETRY_MILLIS, () -> send(failures + 1)));
    }
}
