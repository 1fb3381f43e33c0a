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
package org.quilldyke.gateway.instance;

import java.util.Collection;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.stream.Collectors;
import org.quilldyke.caller.PoisonRequestDetector;
import org.quilldyke.caller.RequestFingerprint;
import org.quilldyke.caller.Suspect;
import org.quilldyke.caller.TargetCrash;
import org.quilldyke.gateway.instance.proto.Completion;
import org.quilldyke.gateway.instance.proto.Crash;
import org.quilldyke.gateway.instance.proto.CrashNews;
import org.quilldyke.gateway.instance.proto.Fingerprint;
import org.quilldyke.gateway.instance.proto.Survival;
import org.quilldyke.gateway.instance.proto.SuspectRequest;

/** Turns evidence of crashes, and what is concluded from it, into its form between instances. */
public final class CrashFrames {
    private CrashFrames() {}

    /** Returns the form of all that a ledger holds. */
    public static CrashNews encode(PoisonRequestDetector ledger, long now) {
        CrashNews.Builder out = CrashNews.newBuilder();
        ledger.crashes().forEach(crash -> out.addCrashes(encode(crash, now)));
        ledger.completions().forEach((request, at) -> out.addCompletions(encode(request, at, now)));
        ledger.survivals().forEach((target, at) -> out.addSurvivals(encode(target, at, now)));
        return out.addAllSuspects(encode(ledger.suspects(), now)).build();
    }

    /** Returns the form of a crash. */
    public static Crash encode(TargetCrash crash, long now) {
        return Crash.newBuilder()
                .setTarget(crash.target())
                .addAllRequests(crash.requests().stream().map(CrashFrames::encode).toList())
                .setAgeMs(Math.max(0, now - crash.crashedAt()))
                .build();
    }

    /** Returns the form of the news that a request ran to its end at a time. */
    public static Completion encode(RequestFingerprint request, long at, long now) {
        return Completion.newBuilder()
                .setRequest(encode(request))
                .setAgeMs(Math.max(0, now - at))
                .build();
    }

    /** Returns the form of the news that a target ran at a time. */
    public static Survival encode(String target, long at, long now) {
        return Survival.newBuilder().setTarget(target).setAgeMs(Math.max(0, now - at)).build();
    }

    /** Returns the form of suspects. */
    public static List<SuspectRequest> encode(Collection<Suspect> suspects, long now) {
        return suspects.stream().map(suspect -> encode(suspect, now)).toList();
    }

    /** Returns the crash that was told. */
    public static TargetCrash decode(Crash crash, long now) {
        Set<RequestFingerprint> requests =
                crash.getRequestsList().stream()
                        .map(CrashFrames::decode)
                        .collect(Collectors.toSet());
        return new TargetCrash(crash.getTarget(), requests, now - crash.getAgeMs());
    }

    /** Returns the request that was told. */
    public static RequestFingerprint decode(Fingerprint request) {
        RequestFingerprint.Kind kind =
                request.getKind() == Fingerprint.Kind.PROMPT_PART
                        ? RequestFingerprint.Kind.PROMPT_PART
                        : RequestFingerprint.Kind.REQUEST;
        return new RequestFingerprint(kind, request.getHigh(), request.getLow());
    }

    /** Returns the suspect that was told; of an unknown standing, one that is watched. */
    public static Suspect decode(SuspectRequest suspect, long now) {
        Suspect.Standing standing =
                switch (suspect.getStanding()) {
                    case REFUSED -> Suspect.Standing.REFUSED;
                    case CLEARED -> Suspect.Standing.CLEARED;
                    default -> Suspect.Standing.WATCHED;
                };
        return new Suspect(
                decode(suspect.getRequest()),
                standing,
                new HashSet<>(suspect.getTargetsList()),
                now + suspect.getLeftMs(),
                suspect.getRefusals());
    }

    private static Fingerprint encode(RequestFingerprint request) {
        return Fingerprint.newBuilder()
                .setKind(Fingerprint.Kind.valueOf(request.kind().name()))
                .setHigh(request.high())
                .setLow(request.low())
                .build();
    }

    private static SuspectRequest encode(Suspect suspect, long now) {
        return SuspectRequest.newBuilder()
                .setRequest(encode(suspect.request()))
                .setStanding(SuspectRequest.Standing.valueOf(suspect.standing().name()))
                .addAllTargets(suspect.targets())
                .setLeftMs(suspect.refusedUntil() - now)
                .setRefusals(suspect.refusals())
                .build();
    }
}
