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

import io.activej.http.HttpHeaders;
import io.activej.http.HttpRequest;
import io.activej.http.HttpResponse;
import io.activej.promise.Promise;
import org.quilldyke.Outcome;
import org.quilldyke.QuilldykeException;
import org.quilldyke.ResultCode;
import org.quilldyke.daemon.log.Event;
import org.quilldyke.daemon.routing.CellView;
import org.quilldyke.instance.InstanceTable;

/** What all requests pass on their way in: is this instance open, and is the body within bounds. */
public final class Entry {
    private static final long RETRY_AFTER_MILLIS = 1000;

    private Entry() {}

    /**
     * Checks that requests may be served.
     *
     * @throws QuilldykeException that says why not; nothing ran
     */
    public static void checkOpen(CellView view) throws QuilldykeException {
        if (view.ready() || view.leaving()) {
            return;
        }
        boolean cutOff = view.standing() == InstanceTable.Status.CUT_OFF;
        throw QuilldykeException.notRunRetryAfter(
                cutOff ? ResultCode.CUT_OFF : ResultCode.NOT_READY, "", RETRY_AFTER_MILLIS);
    }

    /** Reads a request's body; fails with {@link ResultCode#BODY_TOO_LARGE} if it is too long. */
    public static Promise<byte[]> body(TrafficContext context, HttpRequest request) {
        int limit = context.site().limits().bodyBytes();
        try {
            checkOpen(context.view().get());
            String length = request.getHeader(HttpHeaders.CONTENT_LENGTH);
            if (length != null && Long.parseLong(length.trim()) > limit) {
                throw tooLarge(limit);
            }
        } catch (QuilldykeException e) {
            return Promise.ofException(e);
        } catch (NumberFormatException e) {
            return Promise.ofException(
                    QuilldykeException.notRun(ResultCode.BAD_HEADER, "Content-Length"));
        }
        return request.loadBody(limit)
                .map(
                        buf -> buf.getArray(),
                        e -> {
                            throw tooLarge(limit);
                        });
    }

    /** Returns the response for a request that failed before it was admitted. */
    public static HttpResponse refuse(TrafficContext context, Exception cause) {
        QuilldykeException e = Responses.failureOf(cause, Outcome.NOT_RUN);
        if (e.code() == ResultCode.INTERNAL) {
            context.log().fault(cause, "entry");
        }
        context.metrics().refused().inc();
        context.log().write(Event.REFUSED, "code", e.code().label(), "detail", e.getMessage());
        return Responses.failure(e);
    }

    private static QuilldykeException tooLarge(int limit) {
        return QuilldykeException.notRun(ResultCode.BODY_TOO_LARGE, "limit " + limit + " bytes");
    }
}
