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
package org.quilldyke.gateway.engine;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpResponse;
import org.quilldyke.ResultCode;

/** Receives the outcome of an attempt. Called on the traffic thread. */
public interface AttemptListener {
    /** The target was unreachable; no byte of the request was sent. */
    void onUnsent(String reason);

    /** The target's process isn't the incarnation that is known; no byte was sent. */
    default void onOtherIncarnation(String reason) {
        onUnsent(reason);
    }

    /** The first byte is about to be sent. */
    void onSending();

    /** The head of the answer has arrived. */
    void onHead(HttpResponse head);

    /** Bytes have arrived that are no part of an answer; {@link #onFailed} follows. */
    default void onMalformed() {}

    /** A part of the answer's body has arrived; it is released after this call. */
    void onBody(ByteBuf bytes);

    /** The answer is complete. */
    void onComplete();

    /** The answer was interrupted, is missing or invalid; no other call follows. */
    void onFailed(ResultCode code, String reason);
}
