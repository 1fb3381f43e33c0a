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
package org.quilldyke.gateway.caller;

import io.netty.handler.codec.http.HttpRequest;
import java.util.Optional;
import java.util.function.Consumer;
import org.quilldyke.QuilldykeException;
import org.quilldyke.ResultCode;
import org.quilldyke.caller.ForwardRequest;
import org.quilldyke.caller.OriginVerdict;
import org.quilldyke.caller.Step;
import org.quilldyke.caller.StreamVersion;

/** Determines which software version may serve one stream, and records which one has begun it. */
final class StreamOriginCheck {
    private final EntryContext mEntry;
    private final ExchangeLog mLog;

    /** The id of the caller's attempt that began the stream. */
    private String mStreamId = "";

    /** The version that began the resumed stream; empty if the stream is new. */
    private Optional<String> mVersion = Optional.empty();

    private boolean mRecorded;

    StreamOriginCheck(EntryContext entry, ExchangeLog log) {
        mEntry = entry;
        mLog = log;
    }

    /**
     * Starts the check; {@code callback} receives the refusal, if there is one, at once or later.
     *
     * @param head the head of the caller's request
     * @throws QuilldykeException if the head can't be parsed
     */
    void start(ForwardRequest request, HttpRequest head, Consumer<Optional<Step.Refuse>> callback)
            throws QuilldykeException {
        mStreamId = request.id();
        if (request.resumeAfterEvent() < 0 || !request.route().resumable()) {
            callback.accept(Optional.empty());
            return;
        }
        mStreamId = mEntry.dialect().callers().read(head).resumes().orElse(request.id());
        mEntry.streams()
                .find(
                        mStreamId,
                        request,
                        verdict -> callback.accept(refusalAfter(request, verdict)));
    }

    private Optional<Step.Refuse> refusalAfter(ForwardRequest request, OriginVerdict verdict) {
        mLog.resumed(request, mStreamId, verdict);
        mEntry.metrics().onStreamResumed(verdict.source());
        if (verdict.isKnown()) {
            mVersion = Optional.of(verdict.softwareVersion());
            return Optional.empty();
        }
        return Optional.of(
                new Step.Refuse(
                        ResultCode.STREAM_ORIGIN_UNKNOWN,
                        verdict.source().retryAfterMillis(),
                        "stream " + mStreamId));
    }

    /** Restricts a resumed stream to the version that began it. */
    void restrict(StreamVersion version) {
        mVersion.ifPresent(version::restrictTo);
    }

    /** Records the version after the first event of a stream was relayed. */
    void onEventRelayed(ForwardRequest request, StreamVersion version) {
        if (!mRecorded && request.route().resumable()) {
            mRecorded = true;
            version.begunBy().ifPresent(v -> mEntry.streams().onBegun(mStreamId, request, v));
        }
    }
}
