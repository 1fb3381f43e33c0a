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

import java.util.function.Consumer;
import org.quilldyke.QuilldykeException;
import org.quilldyke.daemon.control.ReplicatedMachine;
import org.quilldyke.manifest.FleetResult;
import org.quilldyke.manifest.FleetState;

/** The replicated state machine that holds the newest manifest and the named weights. */
final class FleetStateMachine implements ReplicatedMachine<FleetResult> {
    private final Consumer<FleetState> mListener;
    private FleetState mState = FleetState.create();

    FleetStateMachine(Consumer<FleetState> listener) {
        mListener = listener;
    }

    FleetState state() {
        return mState;
    }

    @Override
    public FleetResult apply(long index, byte[] command) throws QuilldykeException {
        FleetResult result = mState.apply(index, FleetJson.decodeCommand(command));
        if (result.changed()) {
            mListener.accept(mState);
        }
        return result;
    }

    @Override
    public byte[] snapshot() {
        return FleetJson.encode(mState.snapshot());
    }

    @Override
    public void restore(byte[] snapshot) throws QuilldykeException {
        mState =
                snapshot.length == 0
                        ? FleetState.create()
                        : FleetState.restore(FleetJson.decodeSnapshot(snapshot));
        mListener.accept(mState);
    }
}
