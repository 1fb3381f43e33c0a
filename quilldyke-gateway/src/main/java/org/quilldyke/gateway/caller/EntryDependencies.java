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
package org.quilldyke.gateway.caller;

import io.netty.channel.EventLoop;
import java.util.function.LongSupplier;
import org.quilldyke.caller.KeyLease;
import org.quilldyke.caller.RetryShare;
import org.quilldyke.caller.ServiceRetryBudget;
import org.quilldyke.daemon.log.EventLog;
import org.quilldyke.gateway.dialect.Dialect;
import org.quilldyke.gateway.platform.GatewayMetrics;
import org.quilldyke.routing.TargetSelector;

/**
 * The collaborators of an {@link EntryContext}.
 *
 * @param loop the traffic thread
 * @param clock monotonic milliseconds
 * @param leaseClock milliseconds of the {@link org.quilldyke.caller.LeaseClock}
 * @param dialect the wire formats of callers and targets
 * @param targetSelector the targets' states and the selection among them
 * @param retryShare this instance's share of the retries that all instances may send
 * @param retryBudget bounds the retries
 * @param keyLease the lease within which keys may be accepted
 * @param maxApplyMillis the time within which an accepted configuration must be in force
 * @param log receives events
 * @param metrics receives counts and durations
 */
public record EntryDependencies(
        EventLoop loop,
        LongSupplier clock,
        LongSupplier leaseClock,
        Dialect dialect,
        TargetSelector targetSelector,
        RetryShare retryShare,
        ServiceRetryBudget retryBudget,
        KeyLease keyLease,
        long maxApplyMillis,
        EventLog log,
        GatewayMetrics metrics) {}
