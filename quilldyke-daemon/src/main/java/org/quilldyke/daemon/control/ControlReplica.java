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
package org.quilldyke.daemon.control;

import java.util.concurrent.CompletableFuture;
import java.util.function.BiConsumer;
import java.util.function.Consumer;
import java.util.random.RandomGenerator;
import org.quilldyke.QuilldykeException;
import org.quilldyke.control.Command;
import org.quilldyke.control.CommandResult;
import org.quilldyke.control.ControlState;
import org.quilldyke.control.PeerMessage;
import org.quilldyke.control.Replica;
import org.quilldyke.control.ReplicaSettings;
import org.quilldyke.daemon.json.Json;

/** A replica of the control state of plans and claims. Lives on the control thread. */
public final class ControlReplica {
    private final ReplicaNode<CommandResult> mNode;
    private final ControlMachine mMachine;

    private ControlReplica(ReplicaNode<CommandResult> node, ControlMachine machine) {
        mNode = node;
        mMachine = machine;
    }

    /**
     * Loads a replica from its folder.
     *
     * @param environment the control thread, the clock and the log
     * @param storage the replica's files
     * @param settings who takes part
     * @param random draws election times
     * @param send sends a message to another replica, best effort
     * @param onState hears when the configuration has changed or the state was replaced
     * @param listener hears when this replica leads and leads no longer
     * @throws QuilldykeException if the files are damaged or can't be read
     */
    public static ControlReplica load(
            ReplicaNode.Environment environment,
            ReplicaStorage storage,
            ReplicaSettings settings,
            RandomGenerator random,
            BiConsumer<String, PeerMessage> send,
            Consumer<ControlState> onState,
            ReplicaNode.Listener listener)
            throws QuilldykeException {
        ControlMachine machine = ControlMachine.create(environment.log(), onState);
        ReplicaNode<CommandResult> node =
                ReplicaNode.load(environment, storage, settings, random, machine, send, listener);
        return new ControlReplica(node, machine);
    }

    /** Starts to tick. */
    public void start() {
        mNode.start();
    }

    /** Stops without a word to the others, and closes the files. */
    public void stop() throws QuilldykeException {
        mNode.stop();
    }

    /** Takes a message from another replica. */
    public void receive(String from, PeerMessage message) {
        mNode.receive(from, message);
    }

    /** Proposes a command, see {@link ReplicaNode#propose}. */
    public CompletableFuture<CommandResult> propose(Command command) {
        return mNode.propose(Json.encodeAs(Command.class, command));
    }

    /** Returns the state that the applied entries make. */
    public ControlState state() {
        return mMachine.state();
    }

    /** Returns whether this replica leads. */
    public boolean isLeader() {
        return mNode.isLeader();
    }

    /** Returns whether this replica leads and surely no other does. */
    public boolean holdsLease() {
        return mNode.holdsLease();
    }

    /** Returns for how long this replica has led, in milliseconds. */
    public long leadingFor() {
        return mNode.leadingFor();
    }

    /** Returns the leader's id, empty if not known. */
    public String leader() {
        return mNode.leader();
    }

    /** Returns when the leader was last seen. */
    public long leaderSeenAt() {
        return mNode.leaderSeenAt();
    }

    /** Returns whether all is applied that was committed when the leader was last heard. */
    public boolean isCurrent() {
        return mNode.isCurrent();
    }

    /** Returns the replica, to be read. */
    public Replica replica() {
        return mNode.replica();
    }
}
