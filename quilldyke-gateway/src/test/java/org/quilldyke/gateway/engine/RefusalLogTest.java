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
package org.quilldyke.gateway.engine;

import static com.google.common.truth.Truth.assertThat;

import com.codahale.metrics.MetricRegistry;
import org.junit.jupiter.api.Test;
import org.quilldyke.QuilldykeException;
import org.quilldyke.ResultCode;
import org.quilldyke.daemon.log.Event;
import org.quilldyke.daemon.log.EventLog;

class RefusalLogTest {
    private final MetricRegistry mMetrics = new MetricRegistry();
    private final EventLog mLog = EventLog.of("test");
    private long mNow;
    private final RefusalLog mRefusals = RefusalLog.create(mMetrics, mLog, () -> mNow);

    @Test
    void logOfRefusedReportsIsRateLimitedAndCountIsNot() {
        for (mNow = 0; mNow < 4000; mNow++) {
            refuse(ResultCode.REPORT_ADDRESS);
        }
        refuse(ResultCode.REPORT_STATE);

        assertThat(mMetrics.counter("news-refused.report.QR3012").getCount()).isEqualTo(4000);
        assertThat(mMetrics.counter("news-refused.report.QR3013").getCount()).isEqualTo(1);
        assertThat(mLog.count(Event.NEWS_REFUSED)).isEqualTo(4 * 5 + 1);
    }

    @Test
    void eachSkippedEventIsCounted() {
        mRefusals.onEventsSkipped("10.0.0.1:80", 7);

        assertThat(mMetrics.counter("news-refused.cache.QR3016").getCount()).isEqualTo(7);
        assertThat(mLog.count(Event.NEWS_REFUSED)).isEqualTo(1);
    }

    @Test
    void logOfRefusedCallsIsRateLimited() {
        for (mNow = 0; mNow < 2000; mNow++) {
            mRefusals.onCallRefused(
                    Event.CALL_REFUSED,
                    "/x".repeat(500),
                    QuilldykeException.notRun(ResultCode.UNKNOWN_PATH, "GET /x"));
        }

        assertThat(mMetrics.counter("calls-refused.QR1008").getCount()).isEqualTo(2000);
        assertThat(mLog.count(Event.CALL_REFUSED)).isEqualTo(10);
    }

    @Test
    void manifestErrorIsNoReportError() {
        assertThat(RefusalLog.isReportError(ResultCode.MANIFEST_INVALID)).isFalse();
        assertThat(RefusalLog.isReportError(ResultCode.REPORT_SERVICE)).isTrue();
    }

    private void refuse(ResultCode code) {
        mRefusals.onRefused(RefusalLog.Source.REPORT, "i-1", QuilldykeException.notRun(code, ""));
    }
}
