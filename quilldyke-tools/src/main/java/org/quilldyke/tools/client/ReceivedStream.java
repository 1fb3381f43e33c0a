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
package org.quilldyke.tools.client;

import org.quilldyke.ResultCode;

/** What a caller has of a streamed answer, over all its connections. Safe for several threads. */
public final class ReceivedStream {
    private final StringBuilder mText = new StringBuilder();
    private final long mStartedAt = System.nanoTime();
    private long mFirstAt;
    private int mChunks;
    private String mLastEventId = "";
    private boolean mDone;
    private boolean mCancelWanted;
    private String mError = "";
    private ApiClient.Answer mRefusal;
    private Runnable mOnChunk = () -> {};

    /** Returns a stream that is to go on after an event. */
    public static ReceivedStream after(String lastEventId) {
        ReceivedStream stream = new ReceivedStream();
        stream.mLastEventId = lastEventId;
        return stream;
    }

    /** Sets what is run after each chunk. */
    public synchronized void onEachChunk(Runnable action) {
        mOnChunk = action;
    }

    /** Closes the connection after the next chunk. */
    public synchronized void cancel() {
        mCancelWanted = true;
    }

    /** Returns the text so far. */
    public synchronized String text() {
        return mText.toString();
    }

    /** Returns the number of chunks so far. */
    public synchronized int chunks() {
        return mChunks;
    }

    /** Returns the id of the last event, empty before the first. */
    public synchronized String lastEventId() {
        return mLastEventId;
    }

    /** Returns whether the end mark has come. */
    public synchronized boolean isDone() {
        return mDone;
    }

    /** Returns the explicit error that ended the stream, or empty. */
    public synchronized String error() {
        return mError;
    }

    /** Returns the refusal in place of a stream, or null. */
    public synchronized ApiClient.Answer refusal() {
        return mRefusal;
    }

    /** Returns the time to the first chunk, in milliseconds; 0 if there was none. */
    public synchronized double firstChunkMillis() {
        return mFirstAt == 0 ? 0 : (mFirstAt - mStartedAt) / 1e6;
    }

    /** Returns whether the stream can't be resumed any more. */
    public synchronized boolean isGone() {
        return mRefusal != null && mRefusal.code().equals(ResultCode.STREAM_GONE.label());
    }

    /** Returns whether the instance ended before the stream did, which another one resumes. */
    public synchronized boolean isCutByShutdown() {
        return mError.contains(ResultCode.CUT_BY_SHUTDOWN.label());
    }

    /** Forgets that the stream was cut, since it is resumed. */
    public synchronized void goOn() {
        mError = "";
    }

    /** Forgets what came, since the request is sent anew. */
    public synchronized void startAnew() {
        mText.setLength(0);
        mChunks = 0;
        mLastEventId = "";
        mRefusal = null;
    }

    synchronized boolean isCancelWanted() {
        return mCancelWanted;
    }

    synchronized void onDone() {
        mDone = true;
    }

    synchronized void onError(String data) {
        mError = data;
    }

    void onChunk(String id, String text) {
        Runnable action;
        synchronized (this) {
            if (mFirstAt == 0) {
                mFirstAt = System.nanoTime();
            }
            mChunks++;
            mLastEventId = id;
            mText.append(text);
            action = mOnChunk;
        }
        action.run();
    }

    synchronized Void onRefused(ApiClient.Answer answer) {
        mRefusal = answer;
        return null;
    }

    synchronized void onBroken(Exception e) {
        // The stream just isn't done; the caller resumes it.
        mRefusal = null;
    }
}
