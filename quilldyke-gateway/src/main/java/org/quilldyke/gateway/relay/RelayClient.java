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
package org.quilldyke.gateway.relay;

import io.netty.channel.EventLoop;
import io.netty.handler.codec.http.FullHttpRequest;
import java.util.List;
import java.util.function.LongSupplier;
import org.quilldyke.gateway.engine.AttemptListener;
import org.quilldyke.gateway.engine.OpenAttempt;
import org.quilldyke.gateway.engine.TargetConnectionPool;
import org.quilldyke.instance.RelayChoice;

/** Sends requests to targets through other entry processes. Used on the traffic thread. */
public final class RelayClient {
    private final EventLoop mLoop;
    private final LongSupplier mClock;
    private final TargetConnectionPool mPool;
    private final RelayChoice mChoice = RelayChoice.create();

    private RelayClient(EventLoop loop, LongSupplier clock) {
        mLoop = loop;
        mClock = clock;
        mPool =
                TargetConnectionPool.create(
                        loop, head -> head.headers().get(RelayHeaders.REQUEST_ID, ""), clock);
    }

    /**
     * Returns a client without relays.
     *
     * @param loop the traffic thread
     * @param clock monotonic milliseconds
     */
    public static RelayClient create(EventLoop loop, LongSupplier clock) {
        return new RelayClient(loop, clock);
    }

    /** Applies a control process's offer of relays, the preferred ones first. */
    public void onOffer(String control, List<String> addresses) {
        mChoice.onOffer(control, addresses, now());
    }

    /** Returns whether a request can be sent. */
    public boolean isAvailable() {
        return mChoice.isAvailable(now());
    }

    /**
     * Sends a request.
     *
     * @param target the target's id
     * @param borrowsPermit whether the relay has to use a permit of its own
     * @param request the request; released when it is no longer needed
     * @param requestId the request's id, empty if none
     * @param listener receives the outcome; a request that no relay has sent on is unsent, also
     *     after {@link AttemptListener#onSending}
     */
    public OpenAttempt send(
            String target,
            boolean borrowsPermit,
            FullHttpRequest request,
            String requestId,
            AttemptListener listener) {
        request.headers().set(RelayHeaders.TARGET, target);
        // The caller may have sent a header of this name.
        request.headers().remove(RelayHeaders.PERMIT);
        if (borrowsPermit) {
            request.headers().set(RelayHeaders.PERMIT, "1");
        }
        request.headers().set(RelayHeaders.REQUEST_ID, requestId);
        RelayedAttempt attempt = new RelayedAttempt(this, request, requestId, listener);
        attempt.start();
        return attempt;
    }

    /**
     * Sets whether a request may only be relayed to the incarnation of its target that is known.
     */
    public static void setChecksIncarnation(FullHttpRequest request, boolean checksIncarnation) {
        // The caller may have sent a header of this name.
        request.headers().remove(RelayHeaders.INCARNATION);
        if (checksIncarnation) {
            request.headers().set(RelayHeaders.INCARNATION, "1");
        }
    }

    /** Closes connections that have been idle for too long. */
    public void closeIdle() {
        mPool.closeIdle();
    }

    RelayChoice choice() {
        return mChoice;
    }

    TargetConnectionPool pool() {
        return mPool;
    }

    EventLoop loop() {
        return mLoop;
    }

    long now() {
        return mClock.getAsLong();
    }
}
