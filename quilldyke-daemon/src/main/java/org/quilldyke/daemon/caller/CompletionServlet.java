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
import org.quilldyke.Outcome;
import org.quilldyke.QuilldykeException;
import org.quilldyke.ResultCode;
import org.quilldyke.caller.ChunkId;
import org.quilldyke.caller.StreamCursor;
import org.quilldyke.control.Configuration;
import org.quilldyke.daemon.log.Event;
import org.quilldyke.daemon.routing.CellView;
import org.quilldyke.engine.TargetRecord;

/** Serves completions and resumed streams on one traffic thread. */
public final class CompletionServlet {
    private final TrafficContext mContext;
    private final RequestReader mReader;

    private CompletionServlet(TrafficContext context, RequestReader reader) {
        mContext = context;
        mReader = reader;
    }

    /**
     * Returns a servlet.
     *
     * @param context what the thread works with
     * @param instance this instance's id
     * @param incarnation this instance's incarnation
     * @param thread the thread's number; with the others it makes request ids unique
     */
    public static CompletionServlet create(
            TrafficContext context, String instance, long incarnation, int thread) {
        return new CompletionServlet(
                context, RequestReader.create(instance + "-" + thread, incarnation));
    }

    /** Serves {@code POST /v1/completions} and {@code POST /v1/chat/completions}. */
    public Promise<HttpResponse> complete(HttpRequest request) {
        if (request.getHeader(CallerHeaders.LAST_EVENT_ID) != null) {
            return resume(request);
        }
        return Entry.body(mContext, request)
                .then(body -> admit(request, body))
                .then(Promise::of, e -> Promise.of(refuse(e)));
    }

    /** Serves {@code GET /v1/streams} and a repeated {@code POST}, with a last event id. */
    public Promise<HttpResponse> resume(HttpRequest request) {
        try {
            Entry.checkOpen(mContext.view().get());
            RunRelay relay = resumed(request);
            Resumed resumed = new Resumed(relay, OpenRequest.of(request));
            return relay.next()
                    .then(resumed::stream)
                    .then(Promise::of, e -> Promise.of(refuse(gone(relay, e))));
        } catch (QuilldykeException e) {
            return Promise.of(refuse(e));
        }
    }

    private Promise<HttpResponse> admit(HttpRequest request, byte[] body)
            throws QuilldykeException {
        CellView view = mContext.view().get();
        mContext.metrics().requests().inc();
        long now = mContext.clock().getAsLong();
        CallerRequest read = mReader.read(request, body, view.configuration(), now);
        if (!mContext.drain().admits(read.maxTokens(), read.deadlineAt(), now)) {
            throw OpenRequest.refusal();
        }
        mContext.admission().enter(read.organisation());
        return Completion.serve(mContext, read, OpenRequest.of(request));
    }

    private RunRelay resumed(HttpRequest request) throws QuilldykeException {
        CellView view = mContext.view().get();
        Configuration.Organisation organisation =
                CallerHeaders.organisation(request, view.configuration());
        String header = request.getHeader(CallerHeaders.LAST_EVENT_ID);
        int slash = header == null ? -1 : header.indexOf('/');
        ChunkId last = slash < 0 ? null : ChunkId.parse(header.substring(slash + 1));
        if (last == null) {
            throw QuilldykeException.notRun(ResultCode.BAD_HEADER, "Last-Event-ID: " + header);
        }
        TargetRecord target = view.find(header.substring(0, slash));
        if (target == null || !view.configuration().models().containsKey(target.model())) {
            throw QuilldykeException.of(ResultCode.STREAM_GONE, Outcome.RAN, header);
        }
        Configuration.Model model = view.configuration().models().get(target.model());
        mContext.log()
                .write(
                        Event.STREAM_RESUMED,
                        "request",
                        last.request(),
                        "org",
                        organisation.name(),
                        "target",
                        target.id(),
                        "position",
                        last.position() + 1);
        return RunRelay.resume(
                mContext,
                EngineRequest.resumeOnly(mReader.nextNumber(), organisation.name(), model),
                StreamCursor.resumeAt(last.request(), last.attempt(), last.position() + 1),
                target);
    }

    private static Exception gone(RunRelay relay, Exception e) {
        relay.close();
        return QuilldykeException.of(ResultCode.STREAM_GONE, Outcome.RAN, "", e);
    }

    private HttpResponse refuse(Exception cause) {
        return Entry.refuse(mContext, cause);
    }
}
