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
package org.quilldyke.gateway.relay;

import io.netty.util.AsciiString;

/** The headers that entry processes add for each other; targets and callers never see them. */
final class RelayHeaders {
    /** The target that a relayed request is for. */
    static final AsciiString TARGET = AsciiString.cached("Quilldyke-Relay-Target");

    /**
     * The request's id, by which late answers to other requests are recognised; also in answers.
     */
    static final AsciiString REQUEST_ID = AsciiString.cached("Quilldyke-Relay-Request");

    /** Set if the request may only be sent on a permit of the relay. */
    static final AsciiString PERMIT = AsciiString.cached("Quilldyke-Relay-Permit");

    /** Set if the request may only be sent to the incarnation of the target that is named. */
    static final AsciiString INCARNATION = AsciiString.cached("Quilldyke-Relay-Incarnation");

    /** States that the request was not sent on, and whose fault that is: a value below. */
    static final AsciiString UNSENT = AsciiString.cached("Quilldyke-Relay-Unsent");

    /** The relay can't send requests to this target; another one may. */
    static final String UNSENT_RELAY = "relay";

    /** The target refuses connections. */
    static final String UNSENT_TARGET = "target";

    /** The relay has no permit left for the target; another one may. */
    static final String UNSENT_PERMIT = "permit";

    /**
     * Set on an answer that had neither a length nor chunks when the target sent it. Relays always
     * add a framing, since a connection also ends with the process that holds it.
     */
    static final AsciiString UNFRAMED = AsciiString.cached("Quilldyke-Relay-Unframed");

    private RelayHeaders() {}
}
