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

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpVersion;
import org.quilldyke.caller.ForwardRequest;
import org.quilldyke.caller.Prompt;
import org.quilldyke.caller.Step;
import org.quilldyke.gateway.dialect.AttemptFacts;
import org.quilldyke.gateway.dialect.Dialect;
import org.quilldyke.gateway.http.HopByHopHeaders;
import org.quilldyke.manifest.Organisation;

/** Creates the requests that are sent to targets. */
final class TargetRequests {
    private TargetRequests() {}

    /**
     * Returns the request for one attempt: the caller's method, path and body, and its headers
     * except hop-by-hop ones and those that only this system sets.
     *
     * @param dialect the wire formats of callers and targets
     * @param head the head of the caller's request
     * @param body its body, of which the new request retains a duplicate
     * @param request the parsed request
     * @param send the attempt
     */
    static FullHttpRequest of(
            Dialect dialect,
            HttpRequest head,
            ByteBuf body,
            ForwardRequest request,
            Step.Send send) {
        FullHttpRequest out =
                new DefaultFullHttpRequest(
                        HttpVersion.HTTP_1_1, head.method(), head.uri(), body.retainedDuplicate());
        out.headers().add(HopByHopHeaders.endToEnd(head.headers(), dialect.callers()::isReserved));
        boolean hasBody =
                body.isReadable()
                        || head.headers().contains(HttpHeaderNames.CONTENT_LENGTH)
                        || head.headers().contains(HttpHeaderNames.TRANSFER_ENCODING);
        if (hasBody) {
            out.headers().set(HttpHeaderNames.CONTENT_LENGTH, body.readableBytes());
        }
        dialect.targets()
                .write(
                        out.headers(),
                        new AttemptFacts(
                                send.choice(),
                                send.millisLeft(),
                                request.organisation().map(Organisation::name),
                                request.prompt().map(Prompt::model).orElse(""),
                                request.priority(),
                                send.resumeAfterEvent()));
        return out;
    }
}
