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
package org.quilldyke.manifest;

import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.SortedMap;
import java.util.TreeMap;
import org.quilldyke.engine.VersionHistory;
import org.quilldyke.rollout.Rollout;
import org.quilldyke.rollout.RolloutPhase;
import org.quilldyke.rollout.ServiceVersions;

/**
 * The state machine of the replicated log: the newest manifest, the weight versions, the rollouts
 * of software versions and the versions that have served.
 */
public final class FleetState {
    private final TreeMap<String, Long> mWeights = new TreeMap<>();
    private final TreeMap<String, ServiceVersions> mVersions = new TreeMap<>();
    private VersionHistory mVersionHistory = VersionHistory.NONE;
    private long mVersion = -1;
    private byte[] mDocument = new byte[0];
    private long mLastChangeIndex;

    private FleetState() {}

    /** Returns the initial state. */
    public static FleetState create() {
        return new FleetState();
    }

    /** Returns the state stored in a snapshot. */
    public static FleetState restore(Snapshot snapshot) {
        FleetState state = new FleetState();
        state.mVersion = snapshot.version();
        state.mDocument = snapshot.document();
        state.mLastChangeIndex = snapshot.lastChangeIndex();
        state.mWeights.putAll(snapshot.weights());
        state.mVersions.putAll(snapshot.versions());
        state.mVersionHistory = snapshot.versionHistory();
        return state;
    }

    /** Applies the command at the given index of the log. */
    public FleetResult apply(long index, FleetCommand command) {
        boolean changed = false;
        if (command instanceof FleetCommand.PublishManifest c && c.version() > mVersion) {
            mVersion = c.version();
            mDocument = c.document();
            changed = true;
        } else if (command instanceof FleetCommand.NameWeights c
                && c.version() > mWeights.getOrDefault(c.model(), 0L)) {
            mWeights.put(c.model(), c.version());
            changed = true;
        } else if (command instanceof FleetCommand.StartRollout c) {
            changed = startRollout(index, c);
        } else if (command instanceof FleetCommand.SetRolloutPhase c) {
            changed = setRolloutPhase(c);
        } else if (command instanceof FleetCommand.RecordVersions c) {
            changed = recordVersions(c);
        }
        mLastChangeIndex = changed ? index : mLastChangeIndex;
        return new FleetResult(index, changed);
    }

    private boolean startRollout(long index, FleetCommand.StartRollout c) {
        ServiceVersions known = mVersions.get(c.service());
        if (known != null
                && (known.rollout().phase().isRunning()
                        || known.rollout().isSameOrder(c.version(), c.durationMillis()))) {
            return false;
        }
        List<String> retired = new ArrayList<>(known == null ? List.of() : known.retired());
        retired.remove(c.version());
        Rollout rollout = Rollout.start(c.service(), c.version(), c.durationMillis(), index);
        mVersions.put(c.service(), new ServiceVersions(rollout, retired));
        return true;
    }

    private boolean setRolloutPhase(FleetCommand.SetRolloutPhase c) {
        ServiceVersions known = mVersions.get(c.service());
        if (known == null
                || known.rollout().index() != c.index()
                || !known.rollout().phase().mayBecome(c.phase())) {
            return false;
        }
        Set<String> retired = new LinkedHashSet<>(known.retired());
        retired.addAll(c.retired());
        if (c.phase() == RolloutPhase.REVERTED) {
            retired.add(known.rollout().version());
        }
        List<String> kept = new ArrayList<>(retired);
        int excess = Math.max(0, kept.size() - ServiceVersions.MAX_RETIRED);
        mVersions.put(
                c.service(),
                new ServiceVersions(
                        known.rollout().withPhase(c.phase()), kept.subList(excess, kept.size())));
        return true;
    }

    /**
     * No stream has begun before the first manifest, so a history that begins there is complete.
     */
    private boolean recordVersions(FleetCommand.RecordVersions c) {
        VersionHistory before = mVersionHistory;
        mVersionHistory = before.with(c.changes(), c.completes() || !hasManifest());
        return !mVersionHistory.equals(before);
    }

    /** Returns a snapshot of the state. */
    public Snapshot snapshot() {
        return new Snapshot(
                mVersion,
                mDocument,
                mLastChangeIndex,
                new TreeMap<>(mWeights),
                new TreeMap<>(mVersions),
                mVersionHistory);
    }

    /** Returns whether a manifest was ever published. */
    public boolean hasManifest() {
        return mVersion >= 0;
    }

    /** Returns the newest manifest's version, -1 if there is none. */
    public long version() {
        return mVersion;
    }

    /** Returns the newest manifest as written by the operator, compressed. */
    public byte[] document() {
        return mDocument;
    }

    /** Returns the index of the last command that changed the state. */
    public long lastChangeIndex() {
        return mLastChangeIndex;
    }

    /** Returns the version of each model's weights that all engines should load. */
    public SortedMap<String, Long> weights() {
        return new TreeMap<>(mWeights);
    }

    /** Returns the latest rollout of each service that had one. */
    public SortedMap<String, ServiceVersions> versions() {
        return new TreeMap<>(mVersions);
    }

    /** Returns the software versions that serve each service, or have served it. */
    public VersionHistory versionHistory() {
        return mVersionHistory;
    }

    /**
     * The contents of a snapshot.
     *
     * @param version the newest manifest's version, -1 if there is none
     * @param document that manifest, compressed
     * @param lastChangeIndex the index of the last command that changed the state
     * @param weights the version of each model's weights that all engines should load
     * @param versions the latest rollout of each service that had one
     * @param versionHistory the software versions that serve each service, or have served it
     */
    public record Snapshot(
            long version,
            byte[] document,
            long lastChangeIndex,
            SortedMap<String, Long> weights,
            SortedMap<String, ServiceVersions> versions,
            VersionHistory versionHistory) {}
}
