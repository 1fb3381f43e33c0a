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
 * Rejects requests early while the engines are overloaded.
 *
 * <p>A prompt that isn't cached costs an engine many times what a cached one does. Under overload,
 * queues full of uncached prompts evict cached blocks, which makes more prompts uncached, so that
 * the overload sustains itself. The permitted wait therefore grows with the cached share of a
 * request: uncached ones are refused first, and the queue stays so short that it is worthwhile for
 * cached ones to wait.
 */
final class LoadShedding {
    private static final double MAX_UNCACHED_WAIT_MILLIS = 300;
    private static final double EXTRA_CACHED_WAIT_MILLIS = 2200;

    private LoadShedding() {}

    /**
     * Returns whether a request is refused.
     *
     * @param waitMillis predicted wait before its prefill
     * @param cachedShare share of it that is cached at its best target, from 0 to 1
     */
    static boolean rejects(double waitMillis, double cachedShare) {
        return waitMillis
                > MAX_UNCACHED_WAIT_MILLIS + EXTRA_CACHED_WAIT_MILLIS * cachedShare * cachedShare;
    }
}
