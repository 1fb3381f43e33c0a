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
package org.quilldyke.gateway.http;

import io.netty.handler.codec.DecoderResult;
import io.netty.handler.codec.TooLongFrameException;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.TooLongHttpContentException;
import java.util.List;
import org.quilldyke.QuilldykeException;
import org.quilldyke.ResultCode;

/**
 * Refuses requests with ambiguous framing: bytes that one parser reads as a body, another might
 * read as a second request (request smuggling, RFC 9112, 11.2).
 */
public final class RequestFraming {
    private RequestFraming() {}

    /**
     * Checks the head of a request.
     *
     * @throws QuilldykeException {@link ResultCode#MALFORMED_REQUEST}, {@link
     *     ResultCode#HEADERS_TOO_LARGE}, {@link ResultCode#BODY_TOO_LARGE}
     */
    public static void checkHead(HttpRequest head, long maxBodyBytes) throws QuilldykeException {
        checkDecoded(head.decoderResult());
        HttpHeaders headers = head.headers();
        if (!head.protocolVersion().equals(HttpVersion.HTTP_1_1)
                && !head.protocolVersion().equals(HttpVersion.HTTP_1_0)) {
            throw malformed("unsupported version " + head.protocolVersion());
        }
        if (!head.uri().startsWith("/")) {
            throw malformed("the request URI is not a path");
        }
        List<String> hosts = headers.getAll(HttpHeaderNames.HOST);
        if (hosts.size() != 1) {
            throw malformed(hosts.size() + " Host headers");
        }
        List<String> lengths = headers.getAll(HttpHeaderNames.CONTENT_LENGTH);
        List<String> codings = headers.getAll(HttpHeaderNames.TRANSFER_ENCODING);
        if (!codings.isEmpty()) {
            checkCodings(head, codings, lengths);
        }
        if (lengths.size() > 1) {
            throw malformed("several Content-Length headers");
        }
        if (!lengths.isEmpty()) {
            checkLength(lengths.get(0), maxBodyBytes);
        }
    }

    /** Checks the decoder's result for a part of a request. */
    public static void checkDecoded(DecoderResult result) throws QuilldykeException {
        if (result.isSuccess()) {
            return;
        }
        Throwable cause = result.cause();
        if (cause instanceof TooLongHttpContentException) {
            throw QuilldykeException.notRun(ResultCode.BODY_TOO_LARGE, cause.toString());
        }
        if (cause instanceof TooLongFrameException) {
            throw QuilldykeException.notRun(ResultCode.HEADERS_TOO_LARGE, cause.toString());
        }
        throw malformed(String.valueOf(cause));
    }

    private static void checkCodings(HttpRequest head, List<String> codings, List<String> lengths)
            throws QuilldykeException {
        if (!lengths.isEmpty()) {
            throw malformed("both a content length and a transfer coding");
        }
        if (codings.size() != 1 || !codings.get(0).equalsIgnoreCase("chunked")) {
            throw malformed("unsupported transfer coding " + codings);
        }
        if (head.protocolVersion().equals(HttpVersion.HTTP_1_0)) {
            throw malformed("a transfer coding in HTTP/1.0");
        }
    }

    private static void checkLength(String length, long maxBodyBytes) throws QuilldykeException {
        if (!length.matches("[0-9]{1,18}")) {
            throw malformed("invalid length " + length);
        }
        if (Long.parseLong(length) > maxBodyBytes) {
            throw QuilldykeException.notRun(ResultCode.BODY_TOO_LARGE, length + " bytes");
        }
    }

    private static QuilldykeException malformed(String detail) {
        return QuilldykeException.notRun(ResultCode.MALFORMED_REQUEST, detail);
    }
}
