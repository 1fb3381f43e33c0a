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

import java.util.function.Consumer;
import org.quilldyke.QuilldykeException;
import org.quilldyke.control.Command;
import org.quilldyke.control.CommandResult;
import org.quilldyke.control.ControlState;
import org.quilldyke.daemon.json.Json;
import org.quilldyke.daemon.log.Event;
import org.quilldyke.daemon.log.EventLog;

/** The control state of plans and claims, as the replicated log makes it. */
public final class ControlMachine implements ReplicatedMachine<CommandResult> {
    private final EventLog mLog;
    private final Consumer<ControlState> mListener;
    private ControlState mState = ControlState.create();

    private ControlMachine(EventLog log, Consumer<ControlState> listener) {
        mLog = log;
        mListener = listener;
    }

    /**
     * Returns an empty state.
     *
     * @param log where changes of plans go
     * @param listener hears when the configuration has changed or the state was replaced
     */
    public static ControlMachine create(EventLog log, Consumer<ControlState> listener) {
        return new ControlMachine(log, listener);
    }

    /** Returns the state. */
    public ControlState state() {
        return mState;
    }

    @Override
    public CommandResult apply(long index, byte[] encoded) throws QuilldykeException {
        Command command = Json.decode(encoded, Command.class);
        long before = mState.configuration().version();
        CommandResult result = mState.apply(index, command);
        if (result.plan() != null) {
            mLog.write(
                    Event.PLAN_CHANGED,
                    "number",
                    result.plan().number(),
                    "state",
                    result.plan().state(),
                    "code",
                    result.code().label(),
                    "index",
                    index);
        }
        if (mState.configuration().version() != before) {
            mListener.accept(mState);
        }
        return result;
    }

    @Override
    public byte[] snapshot() {
        return Json.encode(mState.snapshot());
    }

    @Override
    public void restore(byte[] snapshot) throws QuilldykeException {
        mState =
                snapshot.length == 0
                        ? ControlState.create()
                        : ControlState.restore(Json.decode(snapshot, ControlState.Snapshot.class));
        mListener.accept(mState);
    }
}
