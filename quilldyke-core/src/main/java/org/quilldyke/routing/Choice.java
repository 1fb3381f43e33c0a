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
 * The target that {@link TargetSelector} chose for a request, with the predictions that led to it.
 *
 * @param target the target's id
 * @param address where it accepts requests
 * @param weights the version of the model's weights that it has loaded, {@link #NO_WEIGHTS} if none
 * @param cacheSalt the salt under which it shares cached prompts, empty if the request has no
 *     prompt
 * @param cachedTokens how many of the prompt's tokens it is expected to have, cached or fetched
 * @param missingTokens how many of the prompt's tokens it is expected to prefill
 * @param fetchedTokens how many of the prompt's tokens it is expected to fetch first
 * @param cacheSource where it fetches cached parts that it lacks, empty for nowhere; may be set
 *     although nothing is expected to be missing, since the target may have evicted parts meanwhile
 * @param cacheTarget where it sends the parts that it has prefilled, empty for nowhere
 * @param admissionMillis the expected time to the first event, less what {@code Admission}
 *     discounts of the prefill of a large prompt's unshared part; 0 for plain requests
 * @param expectedMillis the expected time to the first event; for plain requests the cost of the
 *     choice instead, in tenths of the load of a target with all slots in use
 * @param runnerUp the id of the next best target, empty if there was none
 * @param runnerUpMillis what {@code expectedMillis} would be there, 0 if there was none
 * @param borrowsPermit whether the target limits its requests and this instance's share is used up,
 *     so that another instance has to send the request on its share
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
        long runnerUpMillis,
        boolean borrowsPermit) {
    /** The weights of a target without a model. */
    public static final long NO_WEIGHTS = -1;
}
