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

import java.util.Comparator;
import java.util.EnumMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import org.quilldyke.ResultCode;

/**
 * The requests and parts of prompts that one instance treats as suspected of crashing targets, and
 * their recent completions, which may clear suspects. Not thread-safe.
 */
public final class SuspectRequests {
    static final int MAX_SUSPECTS = 4096;

    /** Of each kind of fingerprint. */
    static final int MAX_COMPLETIONS = 4096;

    private final Map<RequestFingerprint, Suspect> mSuspects = new LinkedHashMap<>();
    private final Map<RequestFingerprint.Kind, Map<RequestFingerprint, Long>> mCompletedAtByKind =
            new EnumMap<>(RequestFingerprint.Kind.class);

    private SuspectRequests() {
        for (RequestFingerprint.Kind kind : RequestFingerprint.Kind.values()) {
            mCompletedAtByKind.put(kind, new LinkedHashMap<>());
        }
    }

    /** Returns an object without suspects. */
    public static SuspectRequests create() {
        return new SuspectRequests();
    }

    /**
     * Applies the state of a suspect.
     *
     * @return when the request completed here, which may clear it; empty if it has not, or if it is
     *     no longer a suspect
     */
    public OptionalLong onSuspect(Suspect suspect) {
        if (suspect.standing() == Suspect.Standing.CLEARED) {
            mSuspects.remove(suspect.request());
            return OptionalLong.empty();
        }
        mSuspects.put(suspect.request(), suspect);
        dropOldest(mSuspects, MAX_SUSPECTS);
        Long completedAt = completedAt(suspect.request());
        return completedAt == null ? OptionalLong.empty() : OptionalLong.of(completedAt);
    }

    /** Returns the known suspects. */
    public List<Suspect> suspects() {
        return List.copyOf(mSuspects.values());
    }

    /**
     * Returns whether a request may be sent to one more target. After a refusal of it, or of a part
     * of its prompt, has expired, the request is tried on one target only.
     *
     * @param runCount the number of targets that may have run it for this attempt of its caller
     */
    public boolean maySend(ForwardRequest request, int runCount, long now) {
        return mSuspects.isEmpty()
                || request.suspectFingerprints().stream()
                        .allMatch(fingerprint -> maySend(fingerprint, runCount, now));
    }

    /** Returns the refusal of a request that is not forwarded: the one that expires last. */
    public Step.Refuse refusal(ForwardRequest request, long now) {
        return request.suspectFingerprints().stream()
                .filter(fingerprint -> mSuspects.containsKey(fingerprint))
                .max(Comparator.comparingLong(suspect -> mSuspects.get(suspect).refusedUntil()))
                .map(fingerprint -> refusal(fingerprint, now))
                .orElseThrow();
    }

    boolean maySend(RequestFingerprint request, int runCount, long now) {
        Suspect suspect = mSuspects.get(request);
        return suspect == null
                || suspect.standing() != Suspect.Standing.REFUSED
                || now >= suspect.refusedUntil() && runCount == 0;
    }

    Step.Refuse refusal(RequestFingerprint request, long now) {
        Suspect suspect = mSuspects.get(request);
        return new Step.Refuse(
                ResultCode.CRASHES_TARGETS,
                Math.max(0, suspect.refusedUntil() - now),
                "fingerprint " + request.label() + " crashed " + suspect.targets());
    }

    /**
     * Records that a request, or one with a part of a prompt, completed.
     *
     * @return whether it is a suspect, so that its completion has to be reported
     */
    public boolean onCompleted(RequestFingerprint request, long now) {
        Map<RequestFingerprint, Long> completedAt = mCompletedAtByKind.get(request.kind());
        completedAt.remove(request);
        completedAt.put(request, now);
        dropOldest(completedAt, MAX_COMPLETIONS);
        return mSuspects.containsKey(request);
    }

    /**
     * Returns whether a request completed here so recently that it cannot be the cause of a crash.
     */
    public boolean hasCompletedRecently(RequestFingerprint request, long now) {
        Long completedAt = completedAt(request);
        return completedAt != null && now - completedAt <= request.kind().recentCompletionMillis();
    }

    private Long completedAt(RequestFingerprint request) {
        return mCompletedAtByKind.get(request.kind()).get(request);
    }

    private static <V> void dropOldest(Map<RequestFingerprint, V> entries, int maxSize) {
        if (entries.size() > maxSize) {
            entries.remove(entries.keySet().iterator().next());
        }
    }
}
