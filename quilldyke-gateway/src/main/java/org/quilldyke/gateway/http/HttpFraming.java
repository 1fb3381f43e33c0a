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

import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;

/** How the end of an answer is marked (RFC 9112, 6.3). */
public final class HttpFraming {
    private HttpFraming() {}

    /**
     * Returns whether the end of an answer is marked by a length, by its last chunk or by its
     * status. Any other answer ends with its connection.
     */
    public static boolean isFramed(HttpResponse head) {
        return HttpUtil.isTransferEncodingChunked(head)
                || HttpUtil.isContentLengthSet(head)
                || head.status().equals(HttpResponseStatus.NO_CONTENT)
                || head.status().equals(HttpResponseStatus.NOT_MODIFIED);
    }

    /** Returns whether the end of an answer to a request with the given method is marked. */
    public static boolean isFramed(HttpResponse head, HttpMethod method) {
        return isFramed(head) || method.equals(HttpMethod.HEAD);
    }
}
