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
 * Which requests are refused early while the engines are overloaded.
 *
 * <p>A cold prompt costs an engine many times what a cached one does. Under overload, waiting lines
 * full of cold prompts push cached blocks out, which makes more prompts cold, and the overload
 * keeps itself up. So the wait that a request may meet grows with the share of it that is cached:
 * cold ones are refused first, and the line stays short enough for the cached ones to be worth
 * their place.
 */
final class LoadShedding {
    private static final double MAX_UNCACHED_WAIT_MILLIS = 300;
    private static final double EXTRA_CACHED_WAIT_MILLIS = 2200;

    private LoadShedding() {}

    /**
     * Returns whether a request is refused.
     *
     * @param waitMillis predicted wait before its prefill
     * @param cachedShare how much of it is cached at its best target, from 0 to 1
     */
    static boolean rejects(double waitMillis, double cachedShare) {
        return waitMillis
                > MAX_UNCACHED_WAIT_MILLIS + EXTRA_CACHED_WAIT_MILLIS * cachedShare * cachedShare;
    }
}
