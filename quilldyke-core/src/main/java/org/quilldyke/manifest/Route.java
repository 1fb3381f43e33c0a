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
 * Which requests go where, and what is promised for them.
 *
 * @param name names the route
 * @param host the host that requests name, in lower case
 * @param pathPrefix how their path begins; starts and ends with a slash
 * @param kind what may be done with the requests
 * @param timeoutMillis how long a caller is kept waiting at most
 * @param latencyObjectiveMillis within what time an answer, or the first event of one, is good
 * @param eventGapMillis how long the pause between two events may be
 * @param priority the rank; 0 goes first
 * @param shares the services, with their shares of the requests
 * @param maxAttempts how many targets may run one request at most
 * @param allowsAnonymous whether requests need no key
 * @param carriesPrompts whether the requests carry prompts, whose parts targets keep
 * @param resumable whether a stream may go on at another target after a given event
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
        int maxAttempts,
        boolean allowsAnonymous,
        boolean carriesPrompts,
        boolean resumable) {
    /** Copies the shares. */
    public Route {
        shares = List.copyOf(shares);
    }

    /**
     * Returns for how long a caller waits for the next event before it leaves: two seconds, four
     * objectives or eight pauses, whatever is longest, as the users' platform has it.
     */
    public long callerTimeoutMillis() {
        return Math.max(2000, Math.max(4 * latencyObjectiveMillis, 8 * eventGapMillis));
    }

    /** Returns whether a request that may have run may be sent to another target. */
    public boolean mayRunAgain() {
        return kind.mayRunAgain(resumable);
    }

    /** Returns the sum of the shares' weights. */
    public long totalWeight() {
        return shares.stream().mapToLong(Share::weight).sum();
    }

    /**
     * Returns the service for a request, drawn by weight.
     *
     * @param draw an evenly distributed number, the same for each try of one request
     */
    public String serviceFor(long draw) {
        long remaining = Math.floorMod(draw, totalWeight());
        for (Share share : shares) {
            remaining -= share.weight();
            if (remaining < 0) {
                return share.service();
            }
        }
        throw new AssertionError("weights are positive in sum");
    }

    /**
     * A service's share of a route.
     *
     * @param service the service
     * @param weight its part of the sum of all weights
     */
    public record Share(String service, int weight) {}
}
