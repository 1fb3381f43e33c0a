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
package org.quilldyke.daemon.caller;

import java.io.IOException;
import java.util.List;
import org.quilldyke.Outcome;
import org.quilldyke.QuilldykeException;
import org.quilldyke.ResultCode;
import org.quilldyke.caller.ChunkId;
import org.quilldyke.caller.StreamCursor;
import org.quilldyke.daemon.engine.Chunk;
import org.quilldyke.daemon.engine.SseReader;
import org.quilldyke.daemon.log.Event;

/** What of an answer was relayed, over all attempts: its text, and how it ended. */
final class RelayedAnswer {
    private final TrafficContext mContext;
    private final StreamCursor mCursor;
    private final StringBuilder mText = new StringBuilder();
    private int mCachedUnits;
    private String mFinishReason;
    private byte[] mClosing;

    private RelayedAnswer(TrafficContext context, StreamCursor cursor) {
        mContext = context;
        mCursor = cursor;
    }

    /** Returns the answer that comes at a cursor. */
    static RelayedAnswer create(TrafficContext context, StreamCursor cursor) {
        return new RelayedAnswer(context, cursor);
    }

    /** Returns the text relayed so far. */
    String text() {
        return mText.toString();
    }

    /** Returns why the answer ended, or null if it hasn't. */
    String finishReason() {
        return mFinishReason;
    }

    /** Returns the closing chunk's JSON, or null if the answer hasn't ended. */
    byte[] closing() {
        return mClosing;
    }

    /** Returns whether the whole answer was relayed. */
    boolean isFinished() {
        return mCursor.isFinished();
    }

    /** Returns prompt units that the engine had cached. */
    int cachedUnits() {
        return mCachedUnits;
    }

    /** Returns tokens relayed; the closing chunk carries none. */
    int tokens() {
        return mCursor.isFinished() ? mCursor.nextPosition() - 1 : mCursor.nextPosition();
    }

    /** Returns the number of attempts made. */
    int attempts() {
        return mCursor.attemptsStarted();
    }

    /** Returns the id of the request. */
    String request() {
        return mCursor.request();
    }

    /** Returns whether only the closing chunk is missing, which needs no engine. */
    boolean isTextWhole(EngineRequest request) {
        return request.maxTokens() > 0 && mCursor.nextPosition() == request.maxTokens();
    }

    /** Ends an answer whose text is whole, and returns its closing chunk. */
    Chunk close(EngineRequest request) {
        int position = mCursor.nextPosition();
        mFinishReason = "length";
        mClosing = Answers.closingChunk(mCursor.request(), request, mFinishReason);
        mCursor.finishWithLocalChunk();
        return new Chunk(position, mClosing, "", mFinishReason, 0);
    }

    /**
     * Takes an event of the present attempt.
     *
     * @param chunks gets the chunk, if it is the next one
     * @throws IOException if the engine has cancelled the run, or the event can't be read
     * @throws QuilldykeException if the answer gets too long, or an invariant doesn't hold
     */
    StreamCursor.Verdict accept(SseReader.SseEvent event, List<Chunk> chunks)
            throws IOException, QuilldykeException {
        if (event.id().isEmpty()) {
            return StreamCursor.Verdict.REPEATED;
        }
        ChunkId id = ChunkId.parse(event.id());
        int position = mCursor.nextPosition();
        StreamCursor.Verdict verdict = mCursor.accept(id);
        if (verdict != StreamCursor.Verdict.NEXT) {
            drop(event, position, verdict);
            return verdict;
        }
        Chunk chunk = Chunk.parse(position, event.data());
        if ("cancelled".equals(chunk.finishReason())) {
            throw new IOException("cancelled at the engine");
        }
        mText.append(chunk.text());
        if (mText.length() > mContext.site().limits().answerBytes()) {
            throw QuilldykeException.of(ResultCode.ANSWER_TOO_LARGE, Outcome.RAN, "");
        }
        if (chunk.finishReason() != null) {
            mFinishReason = chunk.finishReason();
            mCachedUnits = Math.max(0, chunk.cachedUnits());
            mClosing = chunk.data();
            mCursor.finish();
        }
        chunks.add(chunk);
        return verdict;
    }

    private void drop(SseReader.SseEvent event, int position, StreamCursor.Verdict verdict) {
        mContext.metrics().dropped().inc();
        mContext.log()
                .write(
                        Event.CHUNK_DROPPED,
                        "request",
                        mCursor.request(),
                        "expected",
                        position,
                        "id",
                        event.id(),
                        "verdict",
                        verdict);
    }
}
