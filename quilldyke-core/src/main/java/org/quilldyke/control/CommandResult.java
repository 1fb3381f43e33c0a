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
package org.quilldyke.control;

import org.quilldyke.ResultCode;

/**
 * The result of applying a command; the same on every replica.
 *
 * @param code {@link ResultCode#OK} or why the command was refused, in which case it changed
 *     nothing
 * @param version the configuration's version after the command
 * @param index the log index of the entry
 * @param plan the plan concerned, or null; for {@link ResultCode#PLAN_CONFLICT} the plan that
 *     already has this number
 * @param claim the claim concerned, or null
 * @param detail additional text for people, or empty
 */
public record CommandResult(
        ResultCode code, long version, long index, Plan plan, Claim claim, String detail) {
    /** Returns whether the command took effect, now or when it was first sent. */
    public boolean isOk() {
        return code == ResultCode.OK;
    }
}
