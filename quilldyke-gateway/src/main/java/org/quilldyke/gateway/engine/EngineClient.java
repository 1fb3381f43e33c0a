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
package org.quilldyke.gateway.engine;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.EventLoop;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.util.concurrent.ScheduledFuture;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.BiConsumer;
import java.util.function.Consumer;
import java.util.function.IntConsumer;
import java.util.function.LongSupplier;
import org.quilldyke.QuilldykeException;
import org.quilldyke.ResultCode;
import org.quilldyke.gateway.dialect.CacheEvents;
import org.quilldyke.gateway.dialect.LoadOrder;
import org.quilldyke.gateway.dialect.TargetDialect;
import org.quilldyke.weights.EngineStatus;
import org.quilldyke.weights.OrderOutcome;

/** Requests the status of engines and sends orders to them. Safe for use by several threads. */
public final class EngineClient {
    /**
     * A reachable engine answers within about 10 ms. An order without an answer may be carried out
     * seconds later, and the engine serves nothing until the order is sent again; the revision that
     * the order expects prevents a second execution.
     */
    private static final long TIMEOUT_MILLIS = 300;

    /** Engines delay answers with cache events by less than 500 ms; the rest is for the network. */
    private static final long CACHE_TIMEOUT_MILLIS = 800;

    private static final int MAX_BODY_BYTES = 1 << 20;

    private final EventLoop mLoop;
    private final TargetDialect mDialect;
    private final TargetConnectionPool mPool;
    private final RefusalLog mRefusals;
    private final AnswerMemory mAnswerMemory = AnswerMemory.ofCalls();

    private EngineClient(
            EventLoop loop, TargetDialect dialect, LongSupplier clock, RefusalLog refusals) {
        mLoop = loop;
        mDialect = dialect;
        mPool = TargetConnectionPool.create(loop, head -> dialect.read(head).requestId(), clock);
        mRefusals = refusals;
    }

    /**
     * Returns a client.
     *
     * @param loop the traffic thread, which does the work
     * @param dialect the engines' wire format
     * @param clock monotonic milliseconds
     * @param refusals records answers that can't be parsed
     */
    public static EngineClient create(
            EventLoop loop, TargetDialect dialect, LongSupplier clock, RefusalLog refusals) {
        return new EngineClient(loop, dialect, clock, refusals);
    }

    /**
     * Requests an engine's status.
     *
     * @param callback receives it on the traffic thread, empty if there is no valid answer
     */
    public void requestStatus(String address, Consumer<Optional<EngineStatus>> callback) {
        send(
                address,
                mDialect.statusRequest(address),
                TIMEOUT_MILLIS,
                Reuse.ALLOWED,
                (status, body) ->
                        callback.accept(
                                status == 200 ? readStatus(address, body) : Optional.empty()));
    }

    /** Sends an order; {@code callback} receives its outcome on the traffic thread. */
    public void sendOrder(String address, LoadOrder order, Consumer<OrderOutcome> callback) {
        send(
                address,
                mDialect.orderRequest(address, order),
                TIMEOUT_MILLIS,
                Reuse.DENIED,
                (status, body) -> callback.accept(outcome(order.target(), status, body)));
    }

    /**
     * Waits for changes in the cache of an engine or a store.
     *
     * @param since the position after the last event received, see {@link CacheEvents#next}
     * @param onBytes receives the size of the body of a response, on the traffic thread
     * @param callback receives them on the traffic thread, empty if there is no valid answer
     */
    public void pollCacheEvents(
            String address,
            long since,
            IntConsumer onBytes,
            Consumer<Optional<CacheEvents>> callback) {
        send(
                address,
                mDialect.cacheEventsRequest(address, since),
                CACHE_TIMEOUT_MILLIS,
                Reuse.ALLOWED,
                (status, body) -> {
                    onBytes.accept(body.length);
                    callback.accept(status == 200 ? readEvents(address, body) : Optional.empty());
                });
    }

    private Optional<CacheEvents> readEvents(String address, byte[] body) {
        try {
            CacheEvents events = mDialect.readCacheEvents(body);
            if (events.unreadable() > 0) {
                mRefusals.onEventsSkipped(address, events.unreadable());
            }
            return Optional.of(events);
        } catch (QuilldykeException e) {
            mRefusals.onRefused(RefusalLog.Source.CACHE, address, e);
            return Optional.empty();
        }
    }

    private OrderOutcome outcome(String target, int status, byte[] body) {
        try {
            return outcome(status).ifFrom(target, mDialect.readOrdered(body));
        } catch (QuilldykeException e) {
            mRefusals.onRefused(RefusalLog.Source.ORDER, target, e);
            return OrderOutcome.UNKNOWN;
        }
    }

    private static OrderOutcome outcome(int status) {
        return switch (status) {
            case 202 -> OrderOutcome.ACCEPTED;
            case 200 -> OrderOutcome.HOLDS;
            case 409 -> OrderOutcome.CONFLICT;
            case 400, 412, 421 -> OrderOutcome.REFUSED;
            default -> OrderOutcome.UNKNOWN;
        };
    }

    private Optional<EngineStatus> readStatus(String address, byte[] body) {
        try {
            return Optional.of(mDialect.readStatus(body));
        } catch (QuilldykeException e) {
            mRefusals.onRefused(RefusalLog.Source.STATUS, address, e);
            return Optional.empty();
        }
    }

    private void send(
            String address,
            FullHttpRequest request,
            long timeoutMillis,
            Reuse reuse,
            BiConsumer<Integer, byte[]> callback) {
        mLoop.execute(() -> new Call(address, request, timeoutMillis, reuse, callback));
    }

    /**
     * Whether a call may use a connection that has carried another one. Calls have no ids, so a
     * late copy of an earlier answer counts as the next one there.
     */
    private enum Reuse {
        ALLOWED {
            @Override
            Attempt send(
                    TargetConnectionPool pool,
                    String address,
                    FullHttpRequest request,
                    AttemptListener listener) {
                return pool.send(address, address, request, "", listener);
            }
        },
        DENIED {
            @Override
            Attempt send(
                    TargetConnectionPool pool,
                    String address,
                    FullHttpRequest request,
                    AttemptListener listener) {
                return pool.sendOnNewConnection(address, address, request, listener);
            }
        };

        abstract Attempt send(
                TargetConnectionPool pool,
                String address,
                FullHttpRequest request,
                AttemptListener listener);
    }

    /** One call; its callback is called once, with status 0 if there was no answer. */
    private final class Call implements AttemptListener {
        private final BiConsumer<Integer, byte[]> mCallback;
        private final Attempt mAttempt;
        private final ScheduledFuture<?> mTimer;
        private final ByteBuf mBody = Unpooled.buffer();
        private final AnswerMemory.Share mMemory = mAnswerMemory.open(this::abort);
        private int mStatus;
        private boolean mEnded;

        Call(
                String address,
                FullHttpRequest request,
                long timeoutMillis,
                Reuse reuse,
                BiConsumer<Integer, byte[]> callback) {
            mCallback = callback;
            mTimer = mLoop.schedule(this::abort, timeoutMillis, TimeUnit.MILLISECONDS);
            mAttempt = reuse.send(mPool, address, request, this);
        }

        @Override
        public void onUnsent(String reason) {
            end(0);
        }

        @Override
        public void onSending() {
            // Not needed.
        }

        @Override
        public void onHead(HttpResponse head) {
            mStatus = head.status().code();
        }

        @Override
        public void onBody(ByteBuf bytes) {
            if (mBody.readableBytes() + bytes.readableBytes() > MAX_BODY_BYTES) {
                abort();
            } else {
                mBody.writeBytes(bytes);
                mMemory.set(mBody.capacity());
            }
        }

        @Override
        public void onComplete() {
            end(mStatus);
        }

        @Override
        public void onFailed(ResultCode code, String reason) {
            end(0);
        }

        private void abort() {
            mAttempt.cancel();
            end(0);
        }

        private void end(int status) {
            if (!mEnded) {
                mEnded = true;
                mTimer.cancel(false);
                mMemory.release();
                mCallback.accept(status, ByteBufUtil.getBytes(mBody));
            }
        }
    }
}
