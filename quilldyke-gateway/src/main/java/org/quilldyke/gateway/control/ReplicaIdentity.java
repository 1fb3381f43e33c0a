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
package org.quilldyke.gateway.control;

import java.util.HexFormat;
import java.util.List;
import java.util.random.RandomGenerator;
import org.quilldyke.Outcome;
import org.quilldyke.QuilldykeException;
import org.quilldyke.ResultCode;
import org.quilldyke.control.Ballot;
import org.quilldyke.control.DurableState;
import org.quilldyke.control.Membership;
import org.quilldyke.daemon.control.DataFolder;
import org.quilldyke.daemon.log.Event;
import org.quilldyke.daemon.log.EventLog;
import org.quilldyke.gateway.settings.GatewaySettings;

/**
 * A replica's id and its initial membership.
 *
 * <p>The id belongs to the disk. At the first start of a deployment the seeds are the voters, with
 * ids that all of them know. A replica that finds its disk empty later gets a new id, knows no
 * members and requests to join, so that it can never vote a second time under an id whose votes it
 * has lost.
 *
 * @param id the id
 * @param initialMembership the membership before the first membership change of the log
 */
record ReplicaIdentity(String id, Membership initialMembership) {
    private static final int ID_SUFFIX_BYTES = 4;

    /** Opens a replica's files; a damaged disk is cleared and treated as empty. */
    static Opened open(
            DataFolder folder,
            GatewaySettings settings,
            String address,
            RandomGenerator random,
            EventLog log)
            throws QuilldykeException {
        try {
            return load(folder, settings, address, random);
        } catch (QuilldykeException e) {
            if (e.code() != ResultCode.LOG_DAMAGED) {
                throw e;
            }
            log.write(Event.DISK_CLEARED, "detail", e.getMessage());
            folder.clear();
            ReplicaIdentity identity = createJoiningIdentity(address, random);
            folder.saveIdentity(FleetJson.encode(identity));
            return opened(identity, folder.load());
        }
    }

    private static Opened load(
            DataFolder folder, GatewaySettings settings, String address, RandomGenerator random)
            throws QuilldykeException {
        byte[] stored = folder.loadIdentity();
        ReplicaIdentity identity;
        if (stored.length == 0) {
            identity = createIdentity(settings, address, random);
            folder.saveIdentity(FleetJson.encode(identity));
        } else {
            identity = parse(stored);
        }
        return opened(identity, folder.load());
    }

    private static ReplicaIdentity parse(byte[] stored) throws QuilldykeException {
        try {
            return FleetJson.decodeIdentity(stored);
        } catch (QuilldykeException e) {
            throw QuilldykeException.of(
                    ResultCode.LOG_DAMAGED, Outcome.NOT_RUN, "identity: " + e.getMessage(), e);
        }
    }

    private static Opened opened(ReplicaIdentity identity, DurableState durableState) {
        // The id is stored on the same disk, so a replica that still has it has lost no votes.
        Ballot ballot =
                new Ballot(durableState.ballot().term(), durableState.ballot().votedFor(), true);
        return new Opened(
                identity,
                new DurableState(
                        ballot,
                        durableState.snapshotIndex(),
                        durableState.snapshotTerm(),
                        durableState.snapshot(),
                        durableState.snapshotMembership(),
                        durableState.entries()));
    }

    private static ReplicaIdentity createIdentity(
            GatewaySettings settings, String address, RandomGenerator random) {
        List<String> seeds = settings.seedAddresses();
        if (settings.firstStart() && seeds.contains(address)) {
            return new ReplicaIdentity(
                    seedId(address),
                    Membership.ofVoters(
                            seeds.stream()
                                    .map(seed -> new Membership.Member(seedId(seed), seed))
                                    .toList()));
        }
        return createJoiningIdentity(address, random);
    }

    private static ReplicaIdentity createJoiningIdentity(String address, RandomGenerator random) {
        byte[] bytes = new byte[ID_SUFFIX_BYTES];
        random.nextBytes(bytes);
        String id = address + "/" + HexFormat.of().formatHex(bytes);
        return new ReplicaIdentity(id, Membership.empty());
    }

    private static String seedId(String address) {
        return address + "/first";
    }

    /** A replica's identity and the Raft state on its disk. */
    record Opened(ReplicaIdentity identity, DurableState durableState) {}
}
