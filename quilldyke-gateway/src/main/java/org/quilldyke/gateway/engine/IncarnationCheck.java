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
import io.netty.handler.codec.http.HttpResponse;
import io.netty.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;
import org.quilldyke.QuilldykeException;
import org.quilldyke.ResultCode;
import org.quilldyke.gateway.dialect.TargetDialect;

/**
 * Checks on one connection that it leads to the incarnation of a target that is known, before a
 * request is sent on it.
 *
 * <p>A target may have restarted at its address under its id, with other software, before its first
 * report arrives here. A connection leads to the same process until it ends, so one check of it is
 * enough.
 */
final class IncarnationCheck implements AttemptListener {
    /** A working engine answers a status request within this time, also one that is overloaded. */
    private static final long TIMEOUT_MILLIS = 1000;

    private static final int MAX_BODY_BYTES = 64 << 10;

    private final TargetConnectionPool.PerTargetPool mPool;
    private final TargetDialect mDialect;
    private final TargetConnection mConnection;
    private final Attempt mWaiting;
    private final ByteBuf mBody = Unpooled.buffer();
    private final ScheduledFuture<?> mTimer;
    private int mStatus;

    private IncarnationCheck(
            TargetConnectionPool.PerTargetPool pool,
            TargetDialect dialect,
            TargetConnection connection,
            Attempt waiting) {
        mPool = pool;
        mDialect = dialect;
        mConnection = connection;
        mWaiting = waiting;
        mTimer = pool.loop().schedule(connection::close, TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
    }

    /**
     * Starts a check.
     *
     * @param connection a free connection
     * @param waiting is sent on the connection if the check succeeds, and fails otherwise
     */
    static void start(
            TargetConnectionPool.PerTargetPool pool,
            TargetDialect dialect,
            TargetConnection connection,
            Attempt waiting) {
        IncarnationCheck check = new IncarnationCheck(pool, dialect, connection, waiting);
        connection.check(new Attempt(dialect.statusRequest(pool.address()), "", check));
    }

    @Override
    public void onUnsent(String reason) {
        fail(reason);
    }

    @Override
    public void onSending() {
        // The request that waits is not sent yet.
    }

    @Override
    public void onHead(HttpResponse head) {
        mStatus = head.status().code();
    }

    @Override
    public void onBody(ByteBuf bytes) {
        if (mBody.readableBytes() + bytes.readableBytes() > MAX_BODY_BYTES) {
            mConnection.close();
        } else {
            mBody.writeBytes(bytes);
        }
    }

    @Override
    public void onComplete() {
        if (isSameIncarnation()) {
            mTimer.cancel(false);
            mConnection.onIncarnationKnown();
            mPool.sendAfterCheck(mConnection, mWaiting);
        } else {
            mTimer.cancel(false);
            mConnection.close();
            mPool.failOtherIncarnation(
                    mWaiting, "status " + mStatus + " isn't of " + mPool.incarnation().key());
        }
    }

    @Override
    public void onFailed(ResultCode code, String reason) {
        fail(reason);
    }

    private boolean isSameIncarnation() {
        try {
            return mStatus == 200
                    && mDialect.readStatus(ByteBufUtil.getBytes(mBody)).startedAtMillis()
                            == mPool.incarnation().startedAtMillis();
        } catch (QuilldykeException e) {
            return false;
        }
    }

    private void fail(String reason) {
        mTimer.cancel(false);
        mPool.failUnsent(mWaiting, "incarnation not confirmed: " + reason);
    }
}
