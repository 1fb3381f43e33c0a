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
import io.netty.handler.codec.http.HttpResponse;
import java.util.function.LongSupplier;
import org.quilldyke.ResultCode;
import org.quilldyke.routing.TargetPaths;

/** An attempt over a connection of this instance; records what it shows of the path. */
public final class MonitoredAttempt implements OpenAttempt, AttemptListener {
    private final TargetPaths mPaths;
    private final LongSupplier mClock;
    private final String mTarget;
    private final AttemptListener mListener;
    private OpenAttempt mAttempt;
    private boolean mOpen;
    private boolean mDataReceived;

    private MonitoredAttempt(
            TargetPaths paths, LongSupplier clock, String target, AttemptListener listener) {
        mPaths = paths;
        mClock = clock;
        mTarget = target;
        mListener = listener;
    }

    /**
     * Sends a request.
     *
     * @param paths records what the attempt shows
     * @param clock monotonic milliseconds
     * @param target the target's id
     * @param listener receives the outcome
     * @param sender sends the request, with the listener to be used instead
     */
    public static MonitoredAttempt send(
            TargetPaths paths,
            LongSupplier clock,
            String target,
            AttemptListener listener,
            Sender sender) {
        MonitoredAttempt attempt = new MonitoredAttempt(paths, clock, target, listener);
        attempt.mAttempt = sender.send(attempt);
        return attempt;
    }

    @Override
    public void cancel() {
        mAttempt.cancel();
        close(false);
    }

    @Override
    public void ignoreRest() {
        mAttempt.ignoreRest();
        close(false);
    }

    @Override
    public void setReading(boolean reading) {
        mAttempt.setReading(reading);
    }

    @Override
    public void onUnsent(String reason) {
        mPaths.onConnectionFailed(mTarget, mClock.getAsLong());
        mListener.onUnsent(reason);
    }

    @Override
    public void onOtherIncarnation(String reason) {
        // The path works.
        mListener.onOtherIncarnation(reason);
    }

    @Override
    public void onSending() {
        mOpen = true;
        mPaths.onSent(mTarget, mClock.getAsLong());
        mListener.onSending();
    }

    @Override
    public void onHead(HttpResponse head) {
        recordData();
        mListener.onHead(head);
    }

    @Override
    public void onMalformed() {
        // The path works.
        recordData();
        mListener.onMalformed();
    }

    @Override
    public void onBody(ByteBuf bytes) {
        recordData();
        mListener.onBody(bytes);
    }

    @Override
    public void onComplete() {
        close(false);
        mListener.onComplete();
    }

    @Override
    public void onFailed(ResultCode code, String reason) {
        close(!mDataReceived);
        mListener.onFailed(code, reason);
    }

    private void recordData() {
        mDataReceived = true;
        mPaths.onData(mTarget, mClock.getAsLong());
    }

    private void close(boolean disconnected) {
        if (mOpen) {
            mOpen = false;
            mPaths.onClosed(mTarget, disconnected, mClock.getAsLong());
        }
    }

    /** Sends a request whose outcome a given listener receives. */
    public interface Sender {
        /** Sends the request. */
        OpenAttempt send(AttemptListener listener);
    }
}
