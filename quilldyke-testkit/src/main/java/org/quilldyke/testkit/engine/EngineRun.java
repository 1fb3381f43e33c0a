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

import io.activej.promise.Promise;
import io.activej.promise.SettablePromise;
import java.util.ArrayList;
import java.util.List;

/** One request inside the engine: its prompt, its tokens so far, and who waits for more. */
final class EngineRun {
    final String mRequest;
    final int mAttempt;
    final String mSalt;
    final byte[] mPrompt;
    final long[] mKeys;
    final int mPriority;
    final int mMaxTokens;
    final int mStartPosition;
    final boolean mChat;
    final List<String> mTokens = new ArrayList<>();
    int mCachedUnits;
    long mPrefillLeft;
    boolean mPrefilled;
    boolean mDone;
    boolean mCancelled;
    int mReaders;
    long mUnreadSince;
    long mOrder;
    private final WordModel mModel;
    private final List<SettablePromise<Void>> mWaiting = new ArrayList<>();

    EngineRun(
            String request,
            int attempt,
            String salt,
            byte[] prompt,
            long[] keys,
            int priority,
            int maxTokens,
            int startPosition,
            boolean chat) {
        mRequest = request;
        mAttempt = attempt;
        mSalt = salt;
        mPrompt = prompt;
        mKeys = keys;
        mPriority = priority;
        mMaxTokens = maxTokens;
        mStartPosition = startPosition;
        mChat = chat;
        mModel = WordModel.after(prompt);
    }

    /** Computes the next token. */
    void decode() {
        mTokens.add(mModel.next());
        mDone = mTokens.size() >= mMaxTokens;
        wake();
    }

    void cancel() {
        mCancelled = true;
        mDone = true;
        wake();
    }

    /** Returns a promise that completes once there is more than {@code seen} tokens, or the end. */
    Promise<Void> more(int seen) {
        if (mTokens.size() > seen || mDone) {
            return Promise.complete();
        }
        SettablePromise<Void> promise = new SettablePromise<>();
        mWaiting.add(promise);
        return promise;
    }

    private void wake() {
        List<SettablePromise<Void>> waiting = new ArrayList<>(mWaiting);
        mWaiting.clear();
        waiting.forEach(promise -> promise.trySet(null));
    }
}
