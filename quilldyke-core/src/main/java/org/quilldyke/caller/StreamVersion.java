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
package org.quilldyke.caller;

import java.util.Optional;
import java.util.Set;
import org.quilldyke.manifest.Route;
import org.quilldyke.routing.TargetSelector;
import org.quilldyke.routing.TargetState;

/**
 * The software version that may serve a stream. It is fixed by the first event: what two versions
 * send does not fit together.
 */
public final class StreamVersion {
    private boolean mFixed;

    /** Empty before the first event, and if the version of its target is unknown. */
    private Optional<String> mVersion = Optional.empty();

    StreamVersion() {}

    /** Sets the version that began a stream which its caller resumes. */
    public void restrictTo(String version) {
        mFixed = true;
        mVersion = Optional.of(version);
    }

    /** Returns the version that sent the first event; empty if it is unknown. */
    public Optional<String> begunBy() {
        return mVersion;
    }

    void onEvent(TargetRun run) {
        if (!mFixed) {
            mFixed = true;
            mVersion = run.softwareVersion();
        }
    }

    /**
     * Adds the targets of all other versions; all targets if the version is unknown. Before the
     * first event, adds those whose version isn't known to be recorded to serve: a caller could not
     * resume a stream that they begin.
     */
    void addExcluded(Route route, TargetSelector targets, Set<String> excluded, long now) {
        if (!mFixed && !route.resumable()) {
            return;
        }
        boolean isCurrent = targets.versions().isHistoryCurrent(now);
        for (TargetState target : targets.targets()) {
            boolean mayServe =
                    mFixed
                            ? Optional.of(target.softwareVersion()).equals(mVersion)
                            : isCurrent && target.mayBeginStreams();
            if (!mayServe) {
                excluded.add(target.id());
            }
        }
    }
}
