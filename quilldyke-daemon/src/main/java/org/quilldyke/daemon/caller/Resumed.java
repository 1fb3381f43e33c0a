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

import io.activej.bytebuf.ByteBuf;
import io.activej.http.HttpHeaders;
import io.activej.http.HttpResponse;
import io.activej.promise.Promise;
import java.util.List;
import org.quilldyke.Outcome;
import org.quilldyke.QuilldykeException;
import org.quilldyke.ResultCode;
import org.quilldyke.daemon.engine.Chunk;

/** The rest of an answer, for a caller who has its beginning. */
final class Resumed implements OpenRequest.Owner {
    private final RunRelay mRelay;
    private final OpenRequest mOpen;
    private Body mBody;

    /**
     * Makes the relay's answer that of a request.
     *
     * @throws QuilldykeException if the request was cut before
     */
    Resumed(RunRelay relay, OpenRequest open) throws QuilldykeException {
        mRelay = relay;
        mOpen = open;
        open.ownedBy(this);
    }

    /** Returns the response, given its first chunks. */
    Promise<HttpResponse> stream(List<Chunk> first) {
        mOpen.streams();
        mBody = new Body(first);
        return HttpResponse.ok200()
                .withHeader(HttpHeaders.CONTENT_TYPE, "text/event-stream")
                .withHeader(Responses.CODE, ResultCode.OK.label())
                .withHeader(Responses.OUTCOME, Outcome.RAN.label())
                .withBodyStream(mBody)
                .toPromise();
    }

    @Override
    public String id() {
        return mRelay.answer().request();
    }

    @Override
    public Outcome outcome() {
        return mRelay.outcome();
    }

    @Override
    public int tokens() {
        return mRelay.answer().tokens();
    }

    @Override
    public void cut(QuilldykeException e) {
        if (mBody != null) {
            mRelay.onShutdownCut(e);
            mBody.cut(e);
        }
        mRelay.close();
    }

    private final class Body extends EventBody {
        private List<Chunk> mFirst;
        private boolean mEnded;

        Body(List<Chunk> first) {
            mFirst = first;
        }

        @Override
        Promise<ByteBuf> pull() {
            if (mEnded) {
                mRelay.close();
                mOpen.end();
                return Promise.of(null);
            }
            Promise<List<Chunk>> next = mFirst != null ? Promise.of(mFirst) : mRelay.next();
            mFirst = null;
            return next.then(
                    chunks -> {
                        mEnded = mRelay.answer().isFinished();
                        return Promise.of(Answers.events(mRelay, chunks));
                    },
                    e -> {
                        mEnded = true;
                        QuilldykeException known = Responses.failureOf(e, Outcome.RAN);
                        mRelay.onCut(known);
                        return Promise.of(Answers.errorEvent(known));
                    });
        }

        @Override
        protected void onClosed(Exception e) {
            mRelay.close();
            mOpen.end();
        }
    }
}
