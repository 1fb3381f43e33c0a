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
package org.quilldyke.manifest;

import java.util.List;

/**
 * Selects requests by host and path, and defines which services run them, with which time limits,
 * objectives and retry rules.
 *
 * @param name the route's name
 * @param host the host of the requests, in lower case
 * @param pathPrefix the prefix of their paths; starts and ends with a slash
 * @param kind the retry semantics of the requests
 * @param timeoutMillis the maximum time from a request's arrival until its response is complete
 * @param latencyObjectiveMillis the objective for the time to a response or its first event
 * @param eventGapMillis the objective for the time between two events of a stream
 * @param priority the priority; 0 is the highest
 * @param shares the services and their shares of the requests
 * @param maxRuns the maximum number of targets that may run one request
 * @param allowsAnonymous whether requests are accepted without a key
 * @param carriesPrompts whether the requests carry prompts, whose prefixes targets cache
 * @param resumable whether a stream may be resumed at another target after a given event
 */
public record Route(
        String name,
        String host,
        String pathPrefix,
        RequestKind kind,
        long timeoutMillis,
        long latencyObjectiveMillis,
        long eventGapMillis,
        int priority,
        List<Share> shares,
        int maxRuns,
        boolean allowsAnonymous,
        boolean carriesPrompts,
        boolean resumable) {
    /** Copies the shares. */
    public Route {
        shares = List.copyOf(shares);
    }

    /**
     * Returns how long a caller waits for the next event before it disconnects, as defined by the
     * users' platform: the longest of two seconds, four latency objectives and eight event gaps.
     */
    public long callerTimeoutMillis() {
        return Math.max(2000, Math.max(4 * latencyObjectiveMillis, 8 * eventGapMillis));
    }

    /** Returns whether a request that may already have run may be sent to another target. */
    public boolean mayRunAgain() {
        return kind.mayRunAgain(resumable);
    }

    /** Returns the sum of the shares' weights. */
    public long totalWeight() {
        return shares.stream().mapToLong(Share::weight).sum();
    }

    /**
     * Returns the service for a request, chosen at random by weight.
     *
     * @param draw a uniformly distributed number, the same for each attempt of one request
     */
    public String serviceFor(long draw) {
        long remaining = Math.floorMod(draw, totalWeight());
        for (Share share : shares) {
            remaining -= share.weight();
            if (remaining < 0) {
                return share.service();
            }
        }
        throw new AssertionError("the sum of the weights is not positive");
    }

    /**
     * A service's share of a route.
     *
     * @param service the name of the service
     * @param weight its share of the sum of all weights
     */
    public record Share(String service, int weight) {}
}
