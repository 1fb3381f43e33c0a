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
package org.quilldyke.daemon.caller;

import io.activej.eventloop.Eventloop;
import java.util.function.LongSupplier;
import java.util.function.Supplier;
import org.quilldyke.caller.RetryBudget;
import org.quilldyke.daemon.control.ControlClient;
import org.quilldyke.daemon.engine.EngineClient;
import org.quilldyke.daemon.log.EventLog;
import org.quilldyke.daemon.platform.Metrics;
import org.quilldyke.daemon.routing.CellView;
import org.quilldyke.daemon.routing.SharedRouter;
import org.quilldyke.daemon.settings.Site;

/**
 * What a traffic thread works with.
 *
 * @param reactor the thread's event loop
 * @param client sends to targets, on this thread
 * @param view gives what is known of the cell
 * @param router chooses targets
 * @param control proposes claims
 * @param admission counts open requests
 * @param budget bounds retries
 * @param drain knows what ends before a shutdown does
 * @param site limits and timings
 * @param clock monotonic milliseconds
 * @param wallClock milliseconds since the epoch
 * @param log where events go
 * @param metrics what is measured
 */
public record TrafficContext(
        Eventloop reactor,
        EngineClient client,
        Supplier<CellView> view,
        SharedRouter router,
        ControlClient control,
        Admission admission,
        RetryBudget budget,
        DrainForecast drain,
        Site site,
        LongSupplier clock,
        LongSupplier wallClock,
        EventLog log,
        Metrics metrics) {}
