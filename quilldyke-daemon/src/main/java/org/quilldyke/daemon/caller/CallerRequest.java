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

import com.fasterxml.jackson.databind.node.ObjectNode;
import org.quilldyke.control.Configuration;

/**
 * A completion request that was read and checked.
 *
 * @param id its id, unique in the cell
 * @param number its number in this process
 * @param organisation who sent it
 * @param model the model it asks for
 * @param path the API's path, the same at the engine
 * @param body its JSON
 * @param chat whether it is a chat completion
 * @param prompt the text to complete, in UTF-8
 * @param maxTokens the length of the answer at most
 * @param stream whether the caller wants events
 * @param urgency from 0, most urgent, to 7 (RFC 9218)
 * @param deadlineAt when the answer is of no more use, on this process's clock
 * @param repeatable whether it may run more than once
 * @param key the idempotency key, empty for none
 * @param fingerprint a hash of the whole body
 */
record CallerRequest(
        String id,
        long number,
        Configuration.Organisation organisation,
        Configuration.Model model,
        String path,
        ObjectNode body,
        boolean chat,
        byte[] prompt,
        int maxTokens,
        boolean stream,
        int urgency,
        long deadlineAt,
        boolean repeatable,
        String key,
        String fingerprint) {

    /** Returns whether the request needs a claim before it may run. */
    boolean needsClaim() {
        return !repeatable && !key.isEmpty();
    }
}
