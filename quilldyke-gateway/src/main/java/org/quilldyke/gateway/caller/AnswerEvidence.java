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

import io.netty.util.concurrent.ScheduledFuture;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.quilldyke.caller.AnswerHead;
import org.quilldyke.rollout.AttemptEvidence;
import org.quilldyke.rollout.RequestEvidence;
import org.quilldyke.routing.Choice;

/** Records one target's answer as evidence, if a rollout of its service is running. */
final class AnswerEvidence {
    private final EntryContext mEntry;
    private final Optional<RequestEvidence> mRequest;
    private final Choice mChoice;

    /** Null before the request is sent and after its answer has ended. */
    private AttemptEvidence mAttempt;

    private ScheduledFuture<?> mTimer;

    AnswerEvidence(EntryContext entry, Optional<RequestEvidence> request, Choice choice) {
        mEntry = entry;
        mRequest = request;
        mChoice = choice;
    }

    void onSending() {
        if (mRequest.isEmpty() || mAttempt != null) {
            return;
        }
        String version = mEntry.targetSelector().softwareVersion(mChoice.target());
        mAttempt =
                mRequest.get()
                        .onSending(
                                mChoice.target(), version, mChoice.expectedMillis(), mEntry.now());
        if (mAttempt.isCanary()) {
            mEntry.metrics().onCanary();
        }
        mTimer =
                mEntry.loop()
                        .schedule(
                                this::onTimeout,
                                Math.max(1, mAttempt.failureMillis()),
                                TimeUnit.MILLISECONDS);
    }

    void onHead(AnswerHead head) {
        if (mAttempt == null) {
            return;
        }
        if (head.isNotRun()) {
            mAttempt.onNotRun();
            finish();
        } else if (head.isFailure() || !head.isGenuine()) {
            mAttempt.onFailed(mEntry.now());
            finish();
        }
    }

    void onEvent() {
        if (mAttempt != null) {
            mAttempt.onFirstEvent(mEntry.now());
        }
    }

    void onComplete(AnswerHead head) {
        if (mAttempt != null) {
            mAttempt.onResponse(head.status(), head.isGenuine(), mEntry.now());
            finish();
        }
    }

    void onFailed() {
        if (mAttempt != null) {
            mAttempt.onFailed(mEntry.now());
            finish();
        }
    }

    /** The answer is no longer awaited; {@code lastDataAt} is when data arrived last. */
    void onCancelled(long lastDataAt) {
        if (mAttempt != null) {
            mAttempt.onAbandoned(lastDataAt, mEntry.now());
            finish();
        }
    }

    private void onTimeout() {
        if (mAttempt != null) {
            mAttempt.onTimeout(mEntry.now());
        }
    }

    private void finish() {
        mAttempt = null;
        mTimer.cancel(false);
    }
}
