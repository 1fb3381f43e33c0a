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
package org.quilldyke.tools.command;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import java.io.IOException;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import org.quilldyke.Outcome;
import org.quilldyke.QuilldykeException;
import org.quilldyke.ResultCode;
import org.quilldyke.testkit.engine.EngineSettings;
import org.quilldyke.testkit.engine.EngineStandIn;
import org.quilldyke.testkit.service.ServiceStandIn;
import org.quilldyke.testkit.store.KvStoreStandIn;
import org.quilldyke.testkit.store.WeightStoreStandIn;

/** Runs a stand-in for a target, for trials without one. */
@Parameters(commandDescription = "run a stand-in: engine | service | kv-store | weight-store")
public final class StandInCommand extends Command {
    @Parameter(required = true, description = "engine | service | kv-store | weight-store")
    private String mKind;

    @Parameter(names = "--id", description = "the target's id")
    private String mId = "stand-in";

    @Parameter(names = "--cell", description = "its cell")
    private String mCell = "";

    @Parameter(names = "--service", description = "its service")
    private String mService = "";

    @Parameter(names = "--listen", required = true, description = "IP:port")
    private String mListen;

    @Parameter(
            names = "--announce",
            description = "traffic addresses of instances, IP:port, separated by commas")
    private List<String> mAnnounce = List.of();

    @Parameter(names = "--failure-domain", description = "where it stands")
    private String mFailureDomain = "local";

    @Parameter(names = "--model", description = "engine: the model; by default the service's name")
    private String mModel = "";

    @Parameter(names = "--weights", description = "engine: the weight version")
    private String mWeights = "w1";

    @Parameter(names = "--slots", description = "engine: requests in a batch")
    private int mSlots = 16;

    @Parameter(names = "--prefill", description = "engine: prompt units computed in a millisecond")
    private int mPrefill = 200;

    @Parameter(names = "--token-ms", description = "engine: milliseconds between tokens")
    private int mTokenMillis = 10;

    @Parameter(names = "--cache-blocks", description = "engine: blocks that the cache holds")
    private int mCacheBlocks = 2000;

    @Parameter(names = "--event-lag-ms", description = "engine: lag of events and load reports")
    private int mEventLag = 50;

    @Parameter(names = "--event-loss", description = "engine: events lost of a thousand")
    private int mEventLoss;

    @Parameter(names = "--weight-store", description = "engine: where weights are loaded from")
    private String mWeightStore = "";

    @Parameter(names = "--load-ms", description = "weight-store: a load at the full rate")
    private int mLoadMillis = 2000;

    @Parameter(names = "--ignores-fencing", description = "engine: take orders however old")
    private boolean mIgnoresFencing;

    @Override
    public ExitCode run() throws QuilldykeException {
        try {
            start();
            System.out.println("stand-in " + mId + " on " + mListen);
            new CountDownLatch(1).await();
        } catch (IOException e) {
            throw QuilldykeException.of(
                    ResultCode.ADDRESS_IN_USE, Outcome.NOT_RUN, mListen + " " + e, e);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        return ExitCode.OK;
    }

    private void start() throws IOException, QuilldykeException {
        long incarnation = System.currentTimeMillis();
        switch (mKind) {
            case "engine" -> EngineStandIn.start(engineSettings(), incarnation);
            case "kv-store" -> KvStoreStandIn.start(mListen);
            case "weight-store" -> WeightStoreStandIn.start(mListen, mLoadMillis);
            case "service" ->
                    ServiceStandIn.start(
                            mId, mCell, mService, mListen, mFailureDomain, mAnnounce, incarnation);
            default ->
                    throw QuilldykeException.notRun(
                            ResultCode.BAD_HEADER, "no such stand-in: " + mKind);
        }
    }

    private EngineSettings engineSettings() {
        return new EngineSettings(
                mId,
                mCell,
                mService,
                mListen,
                mFailureDomain,
                mAnnounce,
                mModel.isEmpty() ? mService : mModel,
                mWeights,
                mSlots,
                mPrefill,
                mTokenMillis,
                mCacheBlocks,
                !mIgnoresFencing,
                mEventLag,
                mEventLoss,
                mWeightStore);
    }
}
