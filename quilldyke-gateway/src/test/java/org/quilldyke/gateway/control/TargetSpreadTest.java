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

import static com.google.common.truth.Truth.assertThat;

import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.quilldyke.daemon.log.EventLog;
import org.quilldyke.engine.TargetReport;
import org.quilldyke.gateway.instance.NettyLoop;
import org.quilldyke.gateway.instance.Peers;
import org.quilldyke.gateway.instance.TargetFrames;
import org.quilldyke.gateway.instance.proto.Target;
import org.quilldyke.gateway.instance.proto.Targets;

class TargetSpreadTest {
    private long mNow;
    private final MultiThreadIoEventLoopGroup mGroup =
            new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final List<Target> mTold = new ArrayList<>();
    private final EventLog mLog = EventLog.of("test");
    private final TargetSpread mSpread =
            new TargetSpread(
                    Peers.create(new NettyLoop(mGroup.next()), () -> mNow, mLog, "127.0.0.1:1"),
                    targets -> mTold.addAll(targets.getTargetsList()),
                    () -> mNow,
                    mLog,
                    1000);

    @AfterEach
    void stop() {
        mGroup.shutdownGracefully();
    }

    /** An entry that had lapsed an engine by mistake once never heard of it again. */
    @Test
    void targetsThatLiveAreToldAnew() {
        mSpread.onReport(report(1, false));
        assertThat(mTold).hasSize(1);
        mTold.clear();

        for (mNow = 0; mNow <= TargetSpread.REFRESH_MILLIS; mNow += 50) {
            if (mNow % 1000 == 0) {
                mSpread.onReport(report(2 + mNow, false));
            }
            mSpread.tick(true);
        }

        assertThat(mTold).hasSize(1);
        assertThat(mTold.get(0).getStanding()).isEqualTo(Target.Standing.LIVE);
    }

    @Test
    void silentTargetLapsesOnlyWhereOthersAreHeard() {
        mSpread.onReport(report(1, false));
        mTold.clear();
        for (mNow = 0; mNow <= 4000; mNow += 50) {
            mSpread.tick(false);
        }
        assertThat(mTold).isEmpty();

        for (; mNow <= 8000; mNow += 50) {
            mSpread.tick(true);
        }

        List<Target.Standing> told = mTold.stream().map(Target::getStanding).toList();
        assertThat(told).containsExactly(Target.Standing.LIVE, Target.Standing.LAPSED).inOrder();
    }

    @Test
    void whatAnotherProcessToldGoesOnToTheEntriesOnce() {
        Targets news =
                Targets.newBuilder().addTargets(TargetFrames.encode(report(5, true), 0)).build();

        mSpread.onTargets(news);
        mSpread.onTargets(news);

        assertThat(mTold).hasSize(1);
        assertThat(mTold.get(0).getLeaving()).isTrue();
        mSpread.onLeave("a");
        assertThat(mTold.get(1).getStanding()).isEqualTo(Target.Standing.GONE);
    }

    private static TargetReport report(long sequence, boolean leaving) {
        return new TargetReport("a", "s", "1.1.1.1:1", "z", "v", 4, leaving, 0, Map.of(), sequence);
    }
}
