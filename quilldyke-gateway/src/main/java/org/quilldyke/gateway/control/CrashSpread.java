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

import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import org.quilldyke.caller.PoisonRequestDetector;
import org.quilldyke.caller.RequestFingerprint;
import org.quilldyke.caller.Suspect;
import org.quilldyke.daemon.log.Event;
import org.quilldyke.daemon.log.EventLog;
import org.quilldyke.gateway.instance.CrashFrames;
import org.quilldyke.gateway.instance.proto.Completion;
import org.quilldyke.gateway.instance.proto.Crash;
import org.quilldyke.gateway.instance.proto.CrashNews;
import org.quilldyke.gateway.instance.proto.PeerFrame;

/**
 * The requests that crash targets, known at all control processes and all entries.
 *
 * <p>Entries tell of the crashes that they have seen. Control processes hand that on to each other,
 * so that all conclude the same, and tell entries what follows.
 */
final class CrashSpread {
    private final PoisonRequestDetector mLedger = PoisonRequestDetector.create();
    private final Consumer<PeerFrame.Builder> mPeers;
    private final Consumer<CrashNews> mEntries;
    private final LongSupplier mClock;
    private final EventLog mLog;
    private final RestartMemory mMemory;
    private boolean mToSave;

    CrashSpread(
            Consumer<PeerFrame.Builder> peers,
            Consumer<CrashNews> entries,
            LongSupplier clock,
            EventLog log,
            RestartMemory memory) {
        mPeers = peers;
        mEntries = entries;
        mClock = clock;
        mLog = log;
        mMemory = memory;
        take(memory.crashes()).ifPresent(news -> conclude());
    }

    /** Takes what an entry has seen, and hands on what is news. */
    void onEntryNews(CrashNews told) {
        take(told)
                .ifPresent(
                        news -> {
                            mPeers.accept(PeerFrame.newBuilder().setCrashes(news));
                            conclude();
                        });
    }

    /** Takes what another control process knows. */
    void onPeerNews(CrashNews told) {
        take(told).ifPresent(news -> conclude());
    }

    /** Returns all that is known, for other control processes; nothing if nothing is. */
    Optional<CrashNews> all() {
        return unlessEmpty(CrashFrames.encode(mLedger, mClock.getAsLong()));
    }

    /** Returns what follows for entries. */
    CrashNews conclusions() {
        return encode(mLedger.suspects());
    }

    /** Stores what is known, if that has changed. */
    void tick() {
        if (mToSave) {
            mToSave = !mMemory.saveCrashes(CrashFrames.encode(mLedger, mClock.getAsLong()));
        }
    }

    /** Takes news; returns what of them wasn't known, nothing if all was. */
    private Optional<CrashNews> take(CrashNews told) {
        long now = mClock.getAsLong();
        CrashNews.Builder news = CrashNews.newBuilder();
        for (Crash crash : told.getCrashesList()) {
            if (mLedger.onCrash(CrashFrames.decode(crash, now))) {
                news.addCrashes(crash);
            }
        }
        for (Completion completion : told.getCompletionsList()) {
            RequestFingerprint request = CrashFrames.decode(completion.getRequest());
            if (mLedger.onCompleted(request, now - completion.getAgeMs())) {
                news.addCompletions(completion);
            }
        }
        told.getSuspectsList().stream()
                .filter(suspect -> mLedger.onSuspect(CrashFrames.decode(suspect, now)))
                .forEach(news::addSuspects);
        return unlessEmpty(news.build());
    }

    private static Optional<CrashNews> unlessEmpty(CrashNews news) {
        boolean isEmpty = news.equals(CrashNews.getDefaultInstance());
        return isEmpty ? Optional.empty() : Optional.of(news);
    }

    private void conclude() {
        mToSave = true;
        List<Suspect> changes = mLedger.evaluate(mClock.getAsLong());
        changes.stream().filter(suspect -> suspect.refusals() > 0).forEach(this::log);
        if (!changes.isEmpty()) {
            mEntries.accept(encode(changes));
        }
    }

    private CrashNews encode(List<Suspect> suspects) {
        return CrashNews.newBuilder()
                .addAllSuspects(CrashFrames.encode(suspects, mClock.getAsLong()))
                .build();
    }

    private void log(Suspect suspect) {
        mLog.write(
                Event.REQUEST_SUSPECTED,
                "fingerprint",
                suspect.request().label(),
                "standing",
                suspect.standing(),
                "refusals",
                suspect.refusals(),
                "targets",
                suspect.targets());
    }
}
