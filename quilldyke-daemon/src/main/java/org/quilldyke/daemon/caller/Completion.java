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
import org.quilldyke.control.Claim;
import org.quilldyke.daemon.engine.Chunk;
import org.quilldyke.daemon.log.Event;

/** One completion request from its admission to its end, which is noted once. */
final class Completion implements OpenRequest.Owner {
    private static final String JSON = "application/json";
    private static final String EVENTS = "text/event-stream";

    private final TrafficContext mContext;
    private final CallerRequest mRequest;
    private final OpenRequest mOpen;
    private final ClaimGuard mClaim;
    private RunRelay mRelay;
    private Body mBody;
    private boolean mEnded;

    private Completion(TrafficContext context, CallerRequest request, OpenRequest open) {
        mContext = context;
        mRequest = request;
        mOpen = open;
        mClaim = ClaimGuard.of(context, request.organisation().name(), request.key(), request.id());
    }

    /** Serves an admitted request; the admission is left at its end. */
    static Promise<HttpResponse> serve(
            TrafficContext context, CallerRequest request, OpenRequest open) {
        Completion completion = new Completion(context, request, open);
        try {
            open.ownedBy(completion);
        } catch (QuilldykeException e) {
            return Promise.of(Responses.failure(completion.fail(e)));
        }
        Promise<Claim> claimed =
                request.needsClaim()
                        ? completion.mClaim.claim(request.fingerprint())
                        : Promise.of(null);
        return claimed.then(completion::answer)
                .then(Promise::of, e -> Promise.of(Responses.failure(completion.fail(e))));
    }

    @Override
    public String id() {
        return mRequest.id();
    }

    @Override
    public Outcome outcome() {
        return mRelay == null ? Outcome.NOT_RUN : mRelay.outcome();
    }

    @Override
    public int tokens() {
        return mRelay == null ? 0 : mRelay.answer().tokens();
    }

    @Override
    public void cut(QuilldykeException e) {
        if (mEnded) {
            return;
        }
        if (mBody != null) {
            mRelay.onShutdownCut(e);
            mBody.cut(e);
        }
        endFailed(e);
    }

    private Promise<HttpResponse> answer(Claim stored) throws QuilldykeException {
        if (mEnded) {
            // Cut while the claim was recorded: its caller was told that nothing ran.
            throw OpenRequest.refusal();
        }
        if (stored != null) {
            end();
            byte[] body = ClaimGuard.bodyOf(stored);
            byte[] out = mRequest.stream() ? Answers.storedAsEvents(mRequest, body) : body;
            String type = mRequest.stream() ? EVENTS : JSON;
            return Promise.of(Responses.ok(Outcome.RAN, stored.status(), type, out));
        }
        mContext.budget().onRequest();
        mRelay = RunRelay.start(mContext, mRequest);
        return mRelay.next().then(first -> mRequest.stream() ? stream(first) : collect(first));
    }

    private Promise<HttpResponse> stream(List<Chunk> first) {
        onFirstChunk();
        mOpen.streams();
        mBody = new Body(first);
        return HttpResponse.ok200()
                .withHeader(HttpHeaders.CONTENT_TYPE, EVENTS)
                .withHeader(Responses.CODE, ResultCode.OK.label())
                .withHeader(Responses.OUTCOME, Outcome.RAN.label())
                .withBodyStream(mBody)
                .toPromise();
    }

    private Promise<HttpResponse> collect(List<Chunk> chunks) throws QuilldykeException {
        if (mRelay.answer().tokens() == chunks.size()) {
            onFirstChunk();
        }
        if (!mRelay.answer().isFinished()) {
            return mRelay.next().then(this::collect);
        }
        byte[] whole = Answers.whole(mRequest, mRelay);
        return store(whole)
                .map(
                        v -> {
                            succeed();
                            return Responses.ok(Outcome.RAN, 200, JSON, whole);
                        });
    }

    private Promise<Void> store(byte[] whole) {
        return whole.length > mContext.site().limits().answerBytes()
                ? mClaim.unknown()
                : mClaim.answered(200, whole, JSON);
    }

    private void onFirstChunk() {
        long waited = mContext.clock().getAsLong() - mRelay.startedAt();
        mContext.metrics().firstToken().update(waited);
    }

    private void succeed() {
        if (mEnded) {
            return;
        }
        end();
        mRelay.close();
        long millis = mContext.clock().getAsLong() - mRelay.startedAt();
        mContext.drain().onAnswered(mRelay.answer().tokens(), millis);
        mContext.metrics().answered().inc();
        mContext.metrics().promptUnits().inc(mRequest.prompt().length);
        mContext.metrics().cachedUnits().inc(mRelay.answer().cachedUnits());
        mContext.log()
                .write(
                        Event.ANSWERED,
                        "request",
                        mRequest.id(),
                        "org",
                        mRequest.organisation().name(),
                        "target",
                        mRelay.target().id(),
                        "attempts",
                        mRelay.answer().attempts(),
                        "tokens",
                        mRelay.answer().tokens(),
                        "cached",
                        mRelay.answer().cachedUnits(),
                        "ms",
                        millis);
    }

    private QuilldykeException fail(Exception cause) {
        QuilldykeException e = Responses.failureOf(cause, outcome());
        if (mEnded) {
            return e;
        }
        if (mBody != null) {
            mRelay.onCut(e);
        }
        endFailed(e);
        mContext.log()
                .write(
                        Event.REFUSED,
                        "request",
                        mRequest.id(),
                        "org",
                        mRequest.organisation().name(),
                        "code",
                        e.code().label(),
                        "outcome",
                        e.outcome().label(),
                        "detail",
                        e.getMessage());
        return e;
    }

    private void endFailed(QuilldykeException e) {
        end();
        if (mRelay != null) {
            mRelay.close();
        }
        if (e.outcome() == Outcome.NOT_RUN) {
            mClaim.release();
            mContext.metrics().refused().inc();
        } else {
            mClaim.unknown();
            mContext.metrics().failed().inc();
        }
    }

    private void onCallerGone() {
        if (mEnded) {
            return;
        }
        end();
        mRelay.close();
        mClaim.unknown();
        mContext.metrics().callersGone().inc();
        mContext.log()
                .write(
                        Event.CALLER_GONE,
                        "request",
                        mRequest.id(),
                        "org",
                        mRequest.organisation().name(),
                        "tokens",
                        mRelay.answer().tokens());
    }

    private void end() {
        mEnded = true;
        mOpen.end();
        mContext.admission().leave(mRequest.organisation());
    }

    /** The events of the answer, as fast as the caller takes them. */
    private final class Body extends EventBody {
        private List<Chunk> mFirst;

        Body(List<Chunk> first) {
            mFirst = first;
        }

        @Override
        Promise<ByteBuf> pull() {
            if (mEnded) {
                return Promise.of(null);
            }
            Promise<List<Chunk>> next = mFirst != null ? Promise.of(mFirst) : mRelay.next();
            mFirst = null;
            return next.then(this::events)
                    .then(Promise::of, e -> Promise.of(Answers.errorEvent(fail(e))));
        }

        @Override
        protected void onClosed(Exception e) {
            onCallerGone();
        }

        private Promise<ByteBuf> events(List<Chunk> chunks) throws QuilldykeException {
            mContext.metrics().chunks().inc(chunks.size());
            ByteBuf out = Answers.events(mRelay, chunks);
            if (!mRelay.answer().isFinished()) {
                return Promise.of(out);
            }
            return store(mRequest.needsClaim() ? Answers.whole(mRequest, mRelay) : new byte[0])
                    .map(
                            v -> {
                                succeed();
                                return out;
                            });
        }
    }
}
