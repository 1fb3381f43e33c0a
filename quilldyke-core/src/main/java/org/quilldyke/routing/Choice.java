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
package org.quilldyke.routing;

/**
 * A target that was chosen for a request, and why.
 *
 * @param target the target's id
 * @param address where it takes requests
 * @param weights the version of the model's weights that it holds, {@link #NO_WEIGHTS} if none
 * @param cacheSalt the name under which it shares cached prompts, empty for a request without one
 * @param cachedTokens how much of the prompt it is expected to hold
 * @param missingTokens how much of the prompt it is expected to read
 * @param fetchedTokens how much of it the target is expected to fetch first
 * @param cacheSource where it fetches what it lacks of the prompt, empty for nowhere; named also if
 *     it is expected to lack nothing, since it may have dropped something meanwhile
 * @param cacheTarget where it sends the parts that it has read, empty for nowhere
 * @param admissionMillis the expected time to the first event, less what {@code Admission} pardons
 *     of the reading of a large prompt's own part
 * @param expectedMillis the expected time to the first event
 * @param runnerUp the next best target, empty if there was none
 * @param runnerUpMillis the expected time there
 */
public record Choice(
        String target,
        String address,
        long weights,
        String cacheSalt,
        int cachedTokens,
        int missingTokens,
        int fetchedTokens,
        String cacheSource,
        String cacheTarget,
        long admissionMillis,
        long expectedMillis,
        String runnerUp,
        long runnerUpMillis) {
    /** Stands for a target without a model. */
    public static final long NO_WEIGHTS = -1;
}
