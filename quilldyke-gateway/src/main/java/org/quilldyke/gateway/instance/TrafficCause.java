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
package org.quilldyke.gateway.instance;

import java.util.Locale;
import org.quilldyke.daemon.instance.proto.ReplicaMessage;
import org.quilldyke.gateway.instance.proto.ControlFrame;
import org.quilldyke.gateway.instance.proto.EntryFrame;
import org.quilldyke.gateway.instance.proto.PeerFrame;

/** What a frame between two instances is for. */
public enum TrafficCause {
    /** Contents of caches and their changes. */
    CACHES,
    /** Open requests and tokens at targets. */
    LOADS,
    /** Targets, their signs of life, their limits, and which of them load weights. */
    TARGETS,
    /** Manifests, versions of weights and of software. */
    CONFIGURATION,
    /** Log entries, snapshots of the log, proposals and their results. */
    LOG,
    /** Signs of life, confirmations, votes, and responses to appended log entries. */
    HEARTBEATS,
    /** Crashes, quotas, observations of rollouts, relays. */
    OTHER;

    /** Returns the name used in metrics. */
    public String label() {
        return name().toLowerCase(Locale.ROOT);
    }

    /** Returns the cause of a frame of any of the types that instances exchange. */
    static TrafficCause of(Object frame) {
        if (frame instanceof PeerFrame peer) {
            return of(peer);
        } else if (frame instanceof ControlFrame control) {
            return of(control);
        }
        return frame instanceof EntryFrame entry ? of(entry) : OTHER;
    }

    private static TrafficCause of(PeerFrame frame) {
        return switch (frame.getKindCase()) {
            case CACHES -> CACHES;
            case LOADS -> LOADS;
            case TARGETS, TAKEN, LOADING, LIMITS -> TARGETS;
            case PROPOSAL, RESULT, JOIN -> LOG;
            case REPLICA -> of(frame.getReplica());
            case PING, CONFIRM, CONFIRMED -> HEARTBEATS;
            default -> OTHER;
        };
    }

    /** An append without entries is a heartbeat; a response doesn't tell which it was. */
    private static TrafficCause of(ReplicaMessage message) {
        return switch (message.getKindCase()) {
            case APPEND_REQUEST ->
                    message.getAppendRequest().getEntriesCount() > 0 ? LOG : HEARTBEATS;
            case SNAPSHOT_REQUEST, SNAPSHOT_REPLY, STATE_REQUEST, STATE_REPLY -> LOG;
            default -> HEARTBEATS;
        };
    }

    /** An entry's first frame names the targets that it knows. */
    private static TrafficCause of(EntryFrame frame) {
        return switch (frame.getKindCase()) {
            case HELLO, LIMITS -> TARGETS;
            case QUESTION -> HEARTBEATS;
            case LOADS -> LOADS;
            default -> OTHER;
        };
    }

    private static TrafficCause of(ControlFrame frame) {
        return switch (frame.getKindCase()) {
            case CONFIGURATION -> CONFIGURATION;
            case TARGETS, LOADING, LIMITS -> TARGETS;
            case ANSWER -> HEARTBEATS;
            case LOADS -> LOADS;
            case CACHES -> CACHES;
            default -> OTHER;
        };
    }
}
