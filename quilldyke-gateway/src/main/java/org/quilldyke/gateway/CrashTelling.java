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
package org.quilldyke.gateway;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import java.util.OptionalLong;
import java.util.concurrent.Executor;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import org.quilldyke.caller.RequestFingerprint;
import org.quilldyke.caller.Suspect;
import org.quilldyke.caller.TargetCrash;
import org.quilldyke.daemon.log.Event;
import org.quilldyke.daemon.log.EventLog;
import org.quilldyke.gateway.caller.CrashListener;
import org.quilldyke.gateway.caller.EntryContext;
import org.quilldyke.gateway.instance.CrashFrames;
import org.quilldyke.gateway.instance.proto.CrashNews;
import org.quilldyke.gateway.instance.proto.EntryFrame;

/**
 * Tells control processes which crashes this entry has seen, and hands the traffic thread what they
 * conclude. What it knows is told anew on each stream: who hears it may have lost its memory.
 */
final class CrashTelling implements CrashListener {
    private static final int MAX_CRASHES = 64;

    private final EntryContext mEntry;
    private final Executor mControl;
    private final LongSupplier mClock;
    private final EventLog mLog;
    private final Deque<TargetCrash> mCrashes = new ArrayDeque<>();

    /** What the traffic thread knows, for the control thread. */
    private volatile List<Suspect> mSuspects = List.of();

    private Consumer<EntryFrame> mOut = frame -> {};

    /**
     * Makes one that tells nobody yet.
     *
     * @param control the control thread
     */
    CrashTelling(EntryContext entry, Executor control, LongSupplier clock, EventLog log) {
        mEntry = entry;
        mControl = control;
        mClock = clock;
        mLog = log;
    }

    /** Begins to tell; call it on the control thread. */
    void tellTo(Consumer<EntryFrame> out) {
        mOut = out;
    }

    @Override
    public void onCrash(TargetCrash crash) {
        mLog.write(
                Event.TARGET_CRASHED,
                "target",
                crash.target(),
                "requests",
                crash.requests().stream().map(RequestFingerprint::label).toList());
        mControl.execute(
                () -> {
                    mCrashes.addLast(crash);
                    if (mCrashes.size() > MAX_CRASHES) {
                        mCrashes.removeFirst();
                    }
                    long now = mClock.getAsLong();
                    tell(CrashNews.newBuilder().addCrashes(CrashFrames.encode(crash, now)));
                });
    }

    @Override
    public void onSuspectCompleted(RequestFingerprint request, long at) {
        mControl.execute(
                () -> {
                    long now = mClock.getAsLong();
                    tell(
                            CrashNews.newBuilder()
                                    .addCompletions(CrashFrames.encode(request, at, now)));
                });
    }

    /** Returns what a control process hears that has just been connected. */
    CrashNews known() {
        long now = mClock.getAsLong();
        CrashNews.Builder known = CrashNews.newBuilder();
        mCrashes.forEach(crash -> known.addCrashes(CrashFrames.encode(crash, now)));
        return known.addAllSuspects(CrashFrames.encode(mSuspects, now)).build();
    }

    /** Takes what a control process concludes. */
    void onNews(CrashNews news) {
        long now = mClock.getAsLong();
        List<Suspect> told =
                news.getSuspectsList().stream()
                        .map(suspect -> CrashFrames.decode(suspect, now))
                        .toList();
        mEntry.loop()
                .execute(
                        () -> {
                            told.forEach(this::onSuspect);
                            mSuspects = mEntry.suspects().suspects();
                        });
    }

    private void onSuspect(Suspect suspect) {
        OptionalLong completedAt = mEntry.suspects().onSuspect(suspect);
        if (completedAt.isPresent()) {
            onSuspectCompleted(suspect.request(), completedAt.getAsLong());
        }
    }

    private void tell(CrashNews.Builder news) {
        mOut.accept(EntryFrame.newBuilder().setCrashes(news).build());
    }
}
