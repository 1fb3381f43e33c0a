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

import java.util.concurrent.CompletableFuture;
import java.util.function.Supplier;
import org.quilldyke.QuilldykeException;
import org.quilldyke.ResultCode;
import org.quilldyke.daemon.log.Event;
import org.quilldyke.daemon.log.EventLog;
import org.quilldyke.gateway.instance.Compression;
import org.quilldyke.manifest.FleetCommand;
import org.quilldyke.manifest.FleetState;

/** Carries out operators' calls on the manifest and on the versions of weights. */
final class FleetOrders {
    private final ReadConfirmations mReadConfirmations;
    private final Proposals mProposals;
    private final Supplier<FleetState> mState;
    private final EventLog mLog;

    FleetOrders(
            ReadConfirmations readConfirmations,
            Proposals proposals,
            Supplier<FleetState> state,
            EventLog log) {
        mReadConfirmations = readConfirmations;
        mProposals = proposals;
        mState = state;
        mLog = log;
    }

    /** Publishes a manifest; completes when this or a newer version is committed. */
    CompletableFuture<Void> publish(long version, byte[] document) {
        if (mState.get().version() >= version) {
            return CompletableFuture.completedFuture(null);
        }
        byte[] compressed = Compression.compress(document);
        return mProposals
                .propose(new FleetCommand.PublishManifest(version, compressed))
                .thenAccept(
                        result ->
                                mLog.write(
                                        Event.MANIFEST_ACCEPTED,
                                        "version",
                                        version,
                                        "index",
                                        result.index(),
                                        "changed",
                                        result.changed(),
                                        "bytes",
                                        compressed.length));
    }

    /**
     * Sets the version of a model's weights; completes when this or a newer version is committed.
     */
    CompletableFuture<Void> nameWeights(String model, long version) {
        if (mState.get().weights().getOrDefault(model, 0L) >= version) {
            return CompletableFuture.completedFuture(null);
        }
        return mProposals
                .propose(new FleetCommand.NameWeights(model, version))
                .thenAccept(
                        result ->
                                mLog.write(
                                        Event.WEIGHTS_NAMED,
                                        "model",
                                        model,
                                        "version",
                                        version,
                                        "index",
                                        result.index()));
    }

    /** Returns the newest manifest as the operator wrote it, after a linearizable read. */
    CompletableFuture<byte[]> readManifest() {
        CompletableFuture<byte[]> result = new CompletableFuture<>();
        mReadConfirmations.confirm(
                confirmed -> {
                    FleetState state = mState.get();
                    if (!confirmed || !state.hasManifest()) {
                        result.completeExceptionally(
                                QuilldykeException.notRun(ResultCode.READ_UNCONFIRMED, ""));
                        return;
                    }
                    try {
                        result.complete(Compression.expand(state.document()));
                    } catch (QuilldykeException e) {
                        result.completeExceptionally(e);
                    }
                });
        return result;
    }
}
