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

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.quilldyke.ResultCode;
import org.quilldyke.daemon.log.Event;
import org.quilldyke.gateway.engine.Attempt;
import org.quilldyke.gateway.engine.AttemptListener;
import org.quilldyke.manifest.Service;
import org.quilldyke.routing.TargetPaths;
import org.quilldyke.routing.TargetState;

/** Probes the paths to targets that {@link TargetPaths} doubts, and requests relays if needed. */
final class PathProber {
    /** Interval of checks for paths to be probed. */
    private static final long CHECK_MILLIS = 100;

    /** A target whose path works accepts a connection and answers within a few milliseconds. */
    private static final long PROBE_TIMEOUT_MILLIS = 400;

    /** While relays are of use, they are requested at this interval, as they may fail, too. */
    private static final long REPORT_MILLIS = 1000;

    private final EntryContext mEntry;
    private final TargetPaths mPaths;
    private Consumer<PathStatus> mStatusConsumer = status -> {};
    private PathStatus mReported = PathStatus.INTACT;
    private long mReportedAt;

    PathProber(EntryContext entry) {
        mEntry = entry;
        mPaths = entry.targetSelector().paths();
    }

    /** Sets the consumer of this instance's status, replacing any previous one. */
    void setStatusConsumer(Consumer<PathStatus> consumer) {
        mStatusConsumer = consumer;
    }

    void start() {
        mEntry.loop().schedule(this::check, CHECK_MILLIS, TimeUnit.MILLISECONDS);
    }

    private void check() {
        start();
        mEntry.targetSelector().onRelayAvailable(mEntry.relays().isAvailable());
        mPaths.startProbes(mEntry.now()).forEach(this::probe);
        report();
    }

    private void report() {
        PathStatus status = status();
        boolean wantsRelays =
                status != PathStatus.INTACT
                        || mEntry.targetSelector().borrowing().isWanted(mEntry.now());
        boolean repeat = wantsRelays && mEntry.now() - mReportedAt >= REPORT_MILLIS;
        if (status != mReported || repeat) {
            mReported = status;
            mReportedAt = mEntry.now();
            mStatusConsumer.accept(status);
        }
    }

    private PathStatus status() {
        if (mPaths.lostCount() == 0) {
            return PathStatus.INTACT;
        }
        return mPaths.isPartitioned() ? PathStatus.PARTITIONED : PathStatus.PARTLY_LOST;
    }

    private void probe(String target) {
        long restingUntil = mEntry.targetSelector().restingUntil(target);
        if (mEntry.now() < restingUntil) {
            mPaths.onProbePostponed(target, restingUntil);
            return;
        }
        TargetState state =
                mEntry.targetSelector().targets().stream()
                        .filter(candidate -> candidate.id().equals(target))
                        .findFirst()
                        .orElse(null);
        if (state != null) {
            new Probe(state).start();
        }
    }

    private String healthPath(String service) {
        return mEntry.routes() == null
                ? "/"
                : mEntry.routes().manifest().services().stream()
                        .filter(candidate -> candidate.name().equals(service))
                        .map(Service::healthPath)
                        .findFirst()
                        .orElse("/");
    }

    private final class Probe implements AttemptListener {
        private final String mTarget;
        private final String mAddress;
        private final String mService;
        private Attempt mAttempt;
        private ScheduledFuture<?> mTimer;
        private boolean mEnded;

        Probe(TargetState state) {
            mTarget = state.id();
            mAddress = state.address();
            mService = state.service();
        }

        void start() {
            FullHttpRequest request =
                    new DefaultFullHttpRequest(
                            HttpVersion.HTTP_1_1, HttpMethod.GET, healthPath(mService));
            request.headers().set(HttpHeaderNames.HOST, mAddress);
            mTimer =
                    mEntry.loop()
                            .schedule(this::onTimeout, PROBE_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
            mEntry.metrics().onPathProbed();
            mAttempt = mEntry.pool().sendOnNewConnection(mTarget, mAddress, request, this);
        }

        @Override
        public void onUnsent(String reason) {
            end(false);
        }

        @Override
        public void onSending() {
            // Only the answer counts.
        }

        @Override
        public void onHead(HttpResponse head) {
            mEntry.onNotice(mTarget, mEntry.dialect().targets().read(head).notice());
            // Any answer shows that the path works. The connection can't carry requests after it,
            // as the answer has no id.
            mAttempt.cancel();
            end(true);
        }

        @Override
        public void onMalformed() {
            // The path works, whatever the target sends.
            end(true);
        }

        @Override
        public void onBody(ByteBuf bytes) {
            // Cancelled at the head.
        }

        @Override
        public void onComplete() {
            // Cancelled at the head.
        }

        @Override
        public void onFailed(ResultCode code, String reason) {
            end(false);
        }

        private void onTimeout() {
            if (!mEnded) {
                mAttempt.cancel();
                end(false);
            }
        }

        private void end(boolean answered) {
            if (mEnded) {
                return;
            }
            mEnded = true;
            mTimer.cancel(false);
            boolean wasLost = mPaths.isLost(mTarget);
            boolean wasPartitioned = mPaths.isPartitioned(mService);
            if (answered) {
                mPaths.onProbeAnswered(mTarget, mEntry.now());
            } else {
                mPaths.onProbeFailed(mTarget, mEntry.now());
            }
            boolean partitioned = mPaths.isPartitioned(mService);
            if (wasLost == answered || wasPartitioned != partitioned) {
                onChanged(answered, partitioned);
            }
        }

        private void onChanged(boolean answered, boolean partitioned) {
            mEntry.log()
                    .write(
                            answered ? Event.PATH_RESTORED : Event.PATH_LOST,
                            "target",
                            mTarget,
                            "service",
                            mService,
                            "partitioned",
                            partitioned,
                            "lost",
                            mPaths.lostCount());
            mEntry.targetSelector().onPathsLost();
        }
    }
}
