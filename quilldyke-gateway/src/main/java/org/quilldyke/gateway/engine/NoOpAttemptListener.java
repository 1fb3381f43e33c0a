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

/** Ignores the outcome of a cancelled attempt, or the rest of an answer. */
final class NoOpAttemptListener implements AttemptListener {
    static final NoOpAttemptListener INSTANCE = new NoOpAttemptListener();

    private NoOpAttemptListener() {}

    @Override
    public void onUnsent(String reason) {
        // Ignored.
    }

    @Override
    public void onSending() {
        // Ignored.
    }

    @Override
    public void onHead(HttpResponse head) {
        // Ignored.
    }

    @Override
    public void onBody(ByteBuf bytes) {
        // Ignored.
    }

    @Override
    public void onComplete() {
        // Ignored.
    }

    @Override
    public void onFailed(ResultCode code, String reason) {
        // Ignored.
    }
}
