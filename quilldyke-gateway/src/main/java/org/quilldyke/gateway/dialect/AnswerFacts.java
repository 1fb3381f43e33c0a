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

import java.util.OptionalLong;
import org.quilldyke.caller.AnswerHead;
import org.quilldyke.routing.TargetNotice;

/**
 * What the head of a target's answer says.
 *
 * @param head what decides about the request
 * @param requestId the request that it answers, empty if it doesn't say
 * @param weights the version of the weights that answered
 * @param limit how many requests a second the target takes from all instances together
 * @param notice what else the target states about itself
 */
public record AnswerFacts(
        AnswerHead head,
        String requestId,
        OptionalLong weights,
        LimitFact limit,
        TargetNotice notice) {}
