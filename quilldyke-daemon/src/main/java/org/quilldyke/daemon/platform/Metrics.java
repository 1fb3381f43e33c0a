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
package org.quilldyke.daemon.platform;

import com.codahale.metrics.Counter;
import com.codahale.metrics.Histogram;
import com.codahale.metrics.MetricRegistry;
import java.util.EnumMap;
import java.util.Map;
import org.quilldyke.caller.CutCause;

/** The instance's metrics, by the names under which they are served. */
public final class Metrics {
    private final MetricRegistry mRegistry = new MetricRegistry();
    private final Counter mRequests = mRegistry.counter("requests");
    private final Counter mAnswered = mRegistry.counter("requests.answered");
    private final Counter mRefused = mRegistry.counter("requests.refused-not-run");
    private final Counter mFailed = mRegistry.counter("requests.failed");
    private final Counter mCallersGone = mRegistry.counter("requests.caller-gone");
    private final Counter mAttempts = mRegistry.counter("attempts");
    private final Counter mContinued = mRegistry.counter("streams.continued");
    private final Counter mDropped = mRegistry.counter("chunks.dropped");
    private final Counter mChunks = mRegistry.counter("chunks.relayed");
    private final Counter mPromptUnits = mRegistry.counter("prompt.units");
    private final Counter mCachedUnits = mRegistry.counter("prompt.units-cached");
    private final Histogram mFirstToken = mRegistry.histogram("first-token.ms");

    private final Map<CutCause, Counter> mCut = new EnumMap<>(CutCause.class);

    private Metrics() {
        for (CutCause cause : CutCause.values()) {
            // Told from the start, so that none is told from not counted.
            mCut.put(cause, mRegistry.counter("answers.cut." + cause.label()));
        }
    }

    /** Returns metrics that are all zero. */
    public static Metrics create() {
        return new Metrics();
    }

    /** Returns the registry, to be served or added to. */
    public MetricRegistry registry() {
        return mRegistry;
    }

    /** Requests that were read. */
    public Counter requests() {
        return mRequests;
    }

    /** Requests that were answered whole. */
    public Counter answered() {
        return mAnswered;
    }

    /** Requests that were refused and did not run. */
    public Counter refused() {
        return mRefused;
    }

    /** Requests that failed after they may have run. */
    public Counter failed() {
        return mFailed;
    }

    /** Requests whose caller went away. */
    public Counter callersGone() {
        return mCallersGone;
    }

    /** Answers that were cut in their middle, by whose decision. */
    public Counter cut(CutCause cause) {
        return mCut.get(cause);
    }

    /** Attempts sent to targets. */
    public Counter attempts() {
        return mAttempts;
    }

    /** Streams that went on after a break, at the same target or another. */
    public Counter continued() {
        return mContinued;
    }

    /** Chunks dropped as late or crossed. */
    public Counter dropped() {
        return mDropped;
    }

    /** Chunks relayed. */
    public Counter chunks() {
        return mChunks;
    }

    /** Prompt units of answered requests. */
    public Counter promptUnits() {
        return mPromptUnits;
    }

    /** Prompt units of answered requests that engines had cached. */
    public Counter cachedUnits() {
        return mCachedUnits;
    }

    /** Time from reading a request to its first chunk, in milliseconds. */
    public Histogram firstToken() {
        return mFirstToken;
    }
}
