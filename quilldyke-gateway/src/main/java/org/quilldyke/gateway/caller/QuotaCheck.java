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

import java.util.Optional;
import java.util.SplittableRandom;
import java.util.function.Consumer;
import org.quilldyke.caller.ForwardRequest;
import org.quilldyke.caller.Forwarding;
import org.quilldyke.caller.QuotaAdmission;
import org.quilldyke.caller.Step;
import org.quilldyke.quota.QuotaRequest;
import org.quilldyke.quota.QuotaVerdict;

/** Checks the quota of one request before its first attempt; further attempts need no check. */
final class QuotaCheck {
    private static final SplittableRandom RANDOM = new SplittableRandom();

    private final EntryContext mEntry;
    private boolean mAdmitted;
    private long mStartedAt;

    QuotaCheck(EntryContext entry) {
        mEntry = entry;
    }

    /** Returns whether the request needs a decision before it is sent. */
    boolean isRequired(ForwardRequest request) {
        return request.quotaUnits() > 0 && !mAdmitted;
    }

    /** Requests a decision, which is delivered at once or later. */
    void start(ForwardRequest request, Consumer<QuotaVerdict> onVerdict) {
        mStartedAt = mEntry.now();
        mEntry.quotaGate()
                .decide(
                        new QuotaRequest(
                                request.organisation().orElseThrow().name(),
                                request.quotaUnits(),
                                request.priority(),
                                onVerdict),
                        QuotaAdmission.giveUpAt(request, mStartedAt));
    }

    /** Returns the step after the decision. */
    Step next(QuotaVerdict verdict, ForwardRequest request, Step.Send send, Forwarding forwarding) {
        long now = mEntry.now();
        mEntry.metrics().onQuotaDecided(now - mStartedAt);
        Optional<Step.Refuse> refusal = QuotaAdmission.refusal(request, verdict, RANDOM);
        if (refusal.isPresent()) {
            return forwarding.onNotPermitted(refusal.get());
        }
        mAdmitted = true;
        return QuotaAdmission.isChoiceOutdated(now - mStartedAt)
                ? forwarding.onChoiceOutdated(now)
                : send;
    }
}
