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
import java.util.OptionalLong;
import org.quilldyke.caller.Prompt;

/**
 * What a caller's request says of itself.
 *
 * @param id the caller's id for this attempt of its; empty if it has none
 * @param millisLeft for how long the caller waits
 * @param key the key that it shows
 * @param prompt its prompt, if it has one
 * @param lastEvent the event after which a stream shall go on
 * @param resumes the id of the caller's attempt that began the stream; empty if it names none
 */
public record CallerFacts(
        String id,
        OptionalLong millisLeft,
        Optional<String> key,
        Optional<Prompt> prompt,
        OptionalLong lastEvent,
        Optional<String> resumes) {}
