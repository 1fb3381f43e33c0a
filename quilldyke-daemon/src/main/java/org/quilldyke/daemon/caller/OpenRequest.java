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

import io.activej.http.HttpRequest;
import io.activej.http.HttpResponse;
import io.activej.promise.Promise;
import io.activej.promise.SettablePromise;
import java.util.function.Consumer;
import org.quilldyke.Outcome;
import org.quilldyke.QuilldykeException;
import org.quilldyke.ResultCode;
import org.quilldyke.daemon.log.Event;
import org.quilldyke.daemon.log.EventLog;

/**
 * A request from its head to the end of its answer, so that a shutdown can end it with a word.
 *
 * <p>Travels with the request as an attachment. Whoever serves it {@link #ownedBy owns} it from the
 * moment that bytes may reach a target. Lives on one traffic thread.
 */
public final class OpenRequest {
    /** When to come again; by then a balancer has noticed that this instance leaves. */
    private static final long RETRY_AFTER_MILLIS = 100;

    private final String mPath;
    private final EventLog mLog;
    private final Consumer<OpenRequest> mOnEnd;
    private final SettablePromise<HttpResponse> mAnswer = new SettablePromise<>();
    private Owner mOwner;
    private Outcome mUnowned = Outcome.UNKNOWN;
    private boolean mStreams;
    private boolean mCut;

    private OpenRequest(String path, EventLog log, Consumer<OpenRequest> onEnd) {
        mPath = path;
        mLog = log;
        mOnEnd = onEnd;
    }

    /** Returns a new one, attached to its request. */
    static OpenRequest attach(HttpRequest request, EventLog log, Consumer<OpenRequest> onEnd) {
        OpenRequest open = new OpenRequest(request.getPath(), log, onEnd);
        request.attach(OpenRequest.class, open);
        return open;
    }

    /** Returns the one that is attached to a request. */
    public static OpenRequest of(HttpRequest request) {
        return request.getAttachment(OpenRequest.class);
    }

    /** Returns what a request is told that a shutdown refuses before anything of it ran. */
    static QuilldykeException refusal() {
        return QuilldykeException.notRunRetryAfter(
                ResultCode.SHUTTING_DOWN, "", RETRY_AFTER_MILLIS);
    }

    /**
     * Hands the request over to what serves it.
     *
     * @throws QuilldykeException {@link ResultCode#SHUTTING_DOWN} if it was cut before; its caller
     *     knows that nothing ran, so nothing may run any more
     */
    public void ownedBy(Owner owner) throws QuilldykeException {
        if (mCut) {
            throw refusal();
        }
        mOwner = owner;
    }

    /** Says that nothing can have run as long as nobody owns the request. */
    void runsOnlyOwned() {
        mUnowned = Outcome.NOT_RUN;
    }

    /** Keeps the request open after its answer's head, until {@link #end}. */
    void streams() {
        mStreams = true;
    }

    /** Returns whether the answer goes on after its head. */
    boolean isStreamed() {
        return mStreams;
    }

    /** Notes that the answer is made. */
    void end() {
        mOnEnd.accept(this);
    }

    /** Returns the answer: what serves the request makes it, or a cut, whichever comes first. */
    Promise<HttpResponse> answeredBy(Promise<HttpResponse> served) {
        served.subscribe(
                (response, e) -> {
                    if (!mStreams) {
                        end();
                    }
                    if (e == null) {
                        mAnswer.trySet(response);
                    } else {
                        mAnswer.trySetException(e);
                    }
                });
        return mAnswer;
    }

    /** Ends the request since the instance can't wait any longer, with an answer and a line. */
    void cut() {
        mCut = true;
        Outcome outcome = mOwner == null ? mUnowned : mOwner.outcome();
        QuilldykeException e =
                outcome == Outcome.NOT_RUN
                        ? refusal()
                        : QuilldykeException.of(ResultCode.CUT_BY_SHUTDOWN, outcome, "");
        mLog.write(
                Event.REFUSED,
                "request",
                mOwner == null ? "" : mOwner.id(),
                "path",
                mPath,
                "code",
                e.code().label(),
                "outcome",
                outcome.label(),
                "tokens",
                mOwner == null ? 0 : mOwner.tokens(),
                "detail",
                "open at the end of the drain time");
        // First, since what the owner ends would else tell the caller why by its own words.
        mAnswer.trySet(Responses.failure(e));
        if (mOwner != null) {
            mOwner.cut(e);
        }
        end();
    }

    /** What serves a request. */
    public interface Owner {
        /** Returns the request's id. */
        String id();

        /** Returns what became of the request so far. */
        Outcome outcome();

        /** Returns the tokens relayed so far. */
        int tokens();

        /** Ends its part; the caller is told {@code e} if no answer has begun. */
        void cut(QuilldykeException e);
    }
}
