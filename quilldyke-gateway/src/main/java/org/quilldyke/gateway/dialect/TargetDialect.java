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
package org.quilldyke.gateway.dialect;

import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpResponse;
import org.quilldyke.QuilldykeException;
import org.quilldyke.weights.EngineStatus;

/** How targets speak. */
public interface TargetDialect {
    /** Adds to a request's headers what the target is told. */
    void write(HttpHeaders headers, AttemptFacts facts);

    /** Reads the head of an answer. */
    AnswerFacts read(HttpResponse head);

    /** Returns the request that asks an engine for its status. */
    FullHttpRequest statusRequest(String address);

    /**
     * Reads an engine's status.
     *
     * @throws QuilldykeException {@link org.quilldyke.ResultCode#REPORT_INVALID} if it is none
     */
    EngineStatus readStatus(byte[] body) throws QuilldykeException;

    /**
     * Returns the request that waits for changes in the cache of an engine or a store.
     *
     * @param address where it takes requests
     * @param since the event after which to begin
     */
    FullHttpRequest cacheEventsRequest(String address, long since);

    /**
     * Reads changes in a cache.
     *
     * @throws QuilldykeException {@link org.quilldyke.ResultCode#REPORT_INVALID} if they are none
     */
    CacheEvents readCacheEvents(byte[] body) throws QuilldykeException;

    /** Returns the request that gives an engine an order. */
    FullHttpRequest orderRequest(String address, LoadOrder order);

    /**
     * Returns the birth that an answer to an order tells, {@link
     * org.quilldyke.engine.Incarnation#UNKNOWN_START} if none.
     *
     * @throws QuilldykeException {@link org.quilldyke.ResultCode#REPORT_INVALID} if it tells
     *     something else as its birth
     */
    long readOrdered(byte[] body) throws QuilldykeException;
}
