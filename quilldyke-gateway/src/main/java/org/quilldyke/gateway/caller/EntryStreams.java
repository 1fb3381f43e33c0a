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

import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;
import org.quilldyke.caller.ForwardRequest;
import org.quilldyke.caller.OriginVerdict;
import org.quilldyke.caller.StreamOrigin;
import org.quilldyke.caller.StreamOrigins;
import org.quilldyke.engine.VersionHistory;

/**
 * The software versions that began the streams of this entry. Used on the traffic thread only.
 *
 * <p>Only this version may continue a stream. Unless it is known to be the service's only one,
 * origins are published, so that a caller may resume its stream at another entry when this one has
 * failed.
 */
public final class EntryStreams {
    /** More streams are not published when they begin to need a record. */
    private static final int MAX_PUBLISHED = 5000;

    private final EntryContext mEntry;
    private final StreamOrigins mOrigins = StreamOrigins.create();
    private final List<StreamOrigin> mUnpublished = new ArrayList<>();
    private VersionHistory mVersions = VersionHistory.NONE;
    private OriginGate mGate = new NoGate();
    private boolean mPublishScheduled;

    EntryStreams(EntryContext entry) {
        mEntry = entry;
    }

    /** Sets the gate to other instances' streams. */
    public void start(OriginGate gate) {
        mGate = gate;
    }

    /** Applies the recorded versions, and publishes the streams that now need a record. */
    void onVersionHistory(VersionHistory history) {
        VersionHistory before = mVersions;
        mVersions = history;
        publishSoon(
                mOrigins.newest(MAX_PUBLISHED, mEntry.now()).stream()
                        .filter(origin -> needsRecord(origin, history))
                        .filter(origin -> !needsRecord(origin, before))
                        .toList());
    }

    /** Without a sole version, only a record identifies the one that began a stream. */
    private static boolean needsRecord(StreamOrigin origin, VersionHistory history) {
        return history.soleVersion(origin.service()).isEmpty();
    }

    /** Records which version has sent the first event of a stream. */
    void onBegun(String attempt, ForwardRequest request, String version) {
        StreamOrigin origin =
                new StreamOrigin(
                        attempt, organisation(request), request.service(), version, mEntry.now());
        mOrigins.add(origin, mEntry.now());
        if (needsRecord(origin, mVersions)) {
            publishSoon(List.of(origin));
        }
    }

    /** Determines which version may continue a stream that its caller resumes. */
    void find(String attempt, ForwardRequest request, Consumer<OriginVerdict> onVerdict) {
        String organisation = organisation(request);
        String service = request.service();
        mOrigins.find(attempt, organisation, service, mEntry.now())
                .ifPresentOrElse(
                        origin ->
                                onVerdict.accept(
                                        OriginVerdict.ofRecord(
                                                OriginVerdict.Source.LOCAL, origin, mEntry.now())),
                        () -> mGate.find(attempt, organisation, service, onVerdict));
    }

    /** Returns whether several versions of a service are recorded. */
    boolean isMixed(String service) {
        return mVersions.isMixed(service);
    }

    private void publishSoon(List<StreamOrigin> origins) {
        mUnpublished.addAll(origins);
        if (!mPublishScheduled && !mUnpublished.isEmpty()) {
            mPublishScheduled = true;
            mEntry.loop().execute(this::publish);
        }
    }

    private void publish() {
        mPublishScheduled = false;
        mGate.publish(List.copyOf(mUnpublished));
        mUnpublished.clear();
    }

    private static String organisation(ForwardRequest request) {
        return request.organisation().map(org -> org.name()).orElse("");
    }

    /** Knows no other instances. */
    private static final class NoGate implements OriginGate {
        @Override
        public void find(
                String attempt,
                String organisation,
                String service,
                Consumer<OriginVerdict> onVerdict) {
            onVerdict.accept(OriginVerdict.unavailable());
        }

        @Override
        public void publish(List<StreamOrigin> origins) {}
    }
}
