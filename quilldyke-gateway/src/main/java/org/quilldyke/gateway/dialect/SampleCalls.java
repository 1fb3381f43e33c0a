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

import java.util.List;

/**
 * Whole messages of the wire, by which a start and its first requests are rehearsed. All of them
 * belong together: the requests go by the manifest to the one target that reports itself.
 */
public interface SampleCalls {
    /**
     * Returns the calls of operators and of a target, in order.
     *
     * @param target where the target takes requests, {@code IP:port}
     */
    List<String> controlCalls(String target);

    /** Returns requests of callers, each on a connection of its own. */
    List<String> requests();

    /** Returns what the target answers to a call or a request. */
    String answer(String call);
}
