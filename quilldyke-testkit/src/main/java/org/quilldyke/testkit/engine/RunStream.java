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

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.activej.bytebuf.ByteBuf;
import io.activej.csp.supplier.AbstractChannelSupplier;
import io.activej.promise.Promise;
import java.nio.charset.StandardCharsets;
import org.quilldyke.caller.ChunkId;
import org.quilldyke.testkit.http.Json;

/** The server-sent events of a run, from some position on, as fast as they are read. */
final class RunStream extends AbstractChannelSupplier<ByteBuf> {
    private final EngineRun mRun;
    private final String mModel;
    private final Runnable mOnClose;
    private int mNext;
    private boolean mEnded;

    RunStream(EngineRun run, String model, int position, Runnable onClose) {
        mRun = run;
        mModel = model;
        mNext = position - run.mStartPosition;
        mOnClose = onClose;
        run.mReaders++;
    }

    @Override
    protected Promise<ByteBuf> doGet() {
        if (mEnded) {
            onCleanup();
            return Promise.of(null);
        }
        return mRun.more(mNext).map(v -> take());
    }

    @Override
    protected void onCleanup() {
        mOnClose.run();
    }

    private ByteBuf take() {
        StringBuilder out = new StringBuilder();
        while (mNext < mRun.mTokens.size()) {
            event(out, Json.text(chunk(mRun.mTokens.get(mNext), null)));
            mNext++;
        }
        if (mRun.mDone) {
            mEnded = true;
            event(out, Json.text(chunk("", mRun.mCancelled ? "cancelled" : "length")));
            out.append("data: [DONE]\n\n");
        }
        return ByteBuf.wrapForReading(out.toString().getBytes(StandardCharsets.UTF_8));
    }

    private void event(StringBuilder out, String data) {
        ChunkId id = new ChunkId(mRun.mRequest, mRun.mAttempt, mRun.mStartPosition + mNext);
        out.append("id: ").append(id.format()).append('\n');
        out.append("data: ").append(data).append("\n\n");
    }

    private ObjectNode chunk(String text, String finish) {
        ObjectNode chunk = Json.object();
        chunk.put("id", mRun.mRequest);
        chunk.put("object", mRun.mChat ? "chat.completion.chunk" : "text_completion");
        chunk.put("model", mModel);
        ObjectNode choice = chunk.putArray("choices").addObject();
        choice.put("index", 0);
        if (mRun.mChat) {
            choice.putObject("delta").put("content", text);
        } else {
            choice.put("text", text);
        }
        choice.put("finish_reason", finish);
        if (finish != null) {
            int tokens = mRun.mStartPosition + mRun.mTokens.size();
            ObjectNode usage = chunk.putObject("usage");
            usage.put("prompt_tokens", mRun.mPrompt.length);
            usage.put("completion_tokens", tokens);
            usage.put("total_tokens", mRun.mPrompt.length + tokens);
            usage.putObject("prompt_tokens_details").put("cached_tokens", mRun.mCachedUnits);
        }
        return chunk;
    }
}
