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

import io.activej.eventloop.Eventloop;
import java.util.function.LongSupplier;
import org.quilldyke.daemon.engine.EngineClient;
import org.quilldyke.daemon.instance.CellNode;
import org.quilldyke.daemon.log.EventLog;

/** Lets a replica's {@link PlanExecutor} do what is due, now and again. */
public final class PlanDriver {
    private static final int TICK_MILLIS = 100;

    private final Eventloop mReactor;
    private final PlanExecutor mExecutor;
    private final CellNode mCell;

    private PlanDriver(Eventloop reactor, PlanExecutor executor, CellNode cell) {
        mReactor = reactor;
        mExecutor = executor;
        mCell = cell;
    }

    /**
     * Starts the ticks; call it on the control thread.
     *
     * @param reactor the control thread's event loop
     * @param replica whose plans to carry out while it leads
     * @param cell knows the live targets
     * @param log where events go
     * @param clock monotonic milliseconds
     */
    public static void start(
            Eventloop reactor,
            ControlReplica replica,
            CellNode cell,
            EventLog log,
            LongSupplier clock) {
        PlanExecutor executor =
                PlanExecutor.create(
                        replica,
                        EngineClient.create(reactor),
                        log,
                        clock,
                        System::currentTimeMillis);
        new PlanDriver(reactor, executor, cell).tick();
    }

    private void tick() {
        mReactor.delayBackground(TICK_MILLIS, this::tick);
        mExecutor.tick(mCell.view().targets());
    }
}
