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

import java.util.Optional;
import org.quilldyke.routing.Choice;

/**
 * What a target is told with a request.
 *
 * @param choice the target, and what it is expected to hold
 * @param millisLeft for how long it may work on the request
 * @param organisation who sends the request
 * @param model the model that it is for, empty for none
 * @param priority its rank; 0 goes first
 * @param lastEvent the event after which its stream goes on, -1 to begin at the start
 */
public record AttemptFacts(
        Choice choice,
        long millisLeft,
        Optional<String> organisation,
        String model,
        int priority,
        long lastEvent) {}
