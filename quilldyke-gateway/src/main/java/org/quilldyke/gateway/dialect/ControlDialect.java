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

import org.quilldyke.QuilldykeException;
import org.quilldyke.manifest.Manifest;
import org.quilldyke.rollout.Rollout;

/** How operators speak, and targets that report themselves. */
public interface ControlDialect {
    /**
     * Reads a call.
     *
     * @param method the HTTP method
     * @param path the path, without a query
     * @param body the body
     * @throws QuilldykeException {@link org.quilldyke.ResultCode#UNKNOWN_PATH} if there is no such
     *     call, {@link org.quilldyke.ResultCode#MANIFEST_INVALID} or {@link
     *     org.quilldyke.ResultCode#REPORT_INVALID} or another of a report's codes if its body can't
     *     be understood
     */
    ControlCall read(String method, String path, byte[] body) throws QuilldykeException;

    /**
     * Reads a call where operators may order rollouts: one of rollouts, or one that {@link #read}
     * understands.
     *
     * @throws QuilldykeException as {@link #read} does, or {@link
     *     org.quilldyke.ResultCode#MALFORMED_BODY} if an order can't be understood
     */
    ControlCall readWithRollouts(String method, String path, byte[] body) throws QuilldykeException;

    /** Returns the body that describes the state of a rollout to an operator. */
    byte[] status(Rollout rollout);

    /**
     * Reads a manifest that was published before.
     *
     * @throws QuilldykeException {@link org.quilldyke.ResultCode#MANIFEST_INVALID} if it is none
     */
    Manifest readManifest(byte[] document) throws QuilldykeException;
}
