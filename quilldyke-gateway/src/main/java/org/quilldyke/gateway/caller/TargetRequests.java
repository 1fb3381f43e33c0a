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
import org.quilldyke.manifest.Organisation;

/** Makes what a target is sent of what a caller sent. */
final class TargetRequests {
    private TargetRequests() {}

    /**
     * Returns the request for one attempt: method, path and body as they came, and the headers but
     * for those of the caller's connection and those that only the system sets.
     *
     * @param dialect how callers and targets speak
     * @param head what the caller sent
     * @param body the caller's body; the request holds a reference of its own to it
     * @param request what the head says
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
