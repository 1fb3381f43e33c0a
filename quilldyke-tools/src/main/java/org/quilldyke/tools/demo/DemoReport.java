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
package org.quilldyke.tools.demo;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.PrintStream;
import java.util.ArrayList;
import java.util.List;
import org.HdrHistogram.Histogram;
import org.quilldyke.daemon.json.JsonTree;
import org.quilldyke.tools.client.ReceivedStream;

/** What a demo counted, and whether each promise it exercised held. */
public final class DemoReport {
    private static final double MICROS = 1000;

    int mReconnects;
    int mDoubled;
    long mDecisions;
    long mDropped;
    long mContinued;
    double mHitRate;
    double mFailoverMillis;
    double mEverywhereMillis;
    double mLeavingMillis;
    private final Histogram mFirstChunk = new Histogram(3);
    private final List<Check> mChecks = new ArrayList<>();
    private int mRequests;
    private int mComplete;
    private int mInterrupted;
    private int mCrossed;
    private String mFirstFault = "";

    /** Returns whether everything that was promised held. */
    public synchronized boolean isGood() {
        return mInterrupted == 0
                && mCrossed == 0
                && mDoubled == 0
                && mChecks.stream().allMatch(Check::held);
    }

    /** Returns the report as JSON. */
    public synchronized ObjectNode toJson() {
        ObjectNode out = JsonTree.object();
        out.put("requests", mRequests);
        out.put("complete", mComplete);
        out.put("interrupted", mInterrupted);
        out.put("crossed", mCrossed);
        out.put("doubled", mDoubled);
        out.put("prefix_hit_rate", Math.round(mHitRate * 1000) / 1000.0);
        out.put("ttft_p50_ms", millis(50));
        out.put("ttft_p95_ms", millis(95));
        out.put("ttft_p99_ms", millis(99));
        out.put("decisions_logged", mDecisions);
        out.put("chunks_dropped", mDropped);
        out.put("streams_continued", mContinued);
        out.put("caller_reconnects", mReconnects);
        out.put("leader_failover_ms", Math.round(mFailoverMillis));
        out.put("configuration_everywhere_ms", Math.round(mEverywhereMillis));
        out.put("leaving_everywhere_ms", Math.round(mLeavingMillis));
        out.put("first_fault", mFirstFault);
        var checks = out.putArray("checks");
        for (Check check : mChecks) {
            checks.addObject()
                    .put("promise", check.promise())
                    .put("held", check.held())
                    .put("detail", check.detail());
        }
        out.put("good", isGood());
        return out;
    }

    /** Prints the report as a table. */
    public synchronized void print(PrintStream out) {
        out.println();
        toJson().fields()
                .forEachRemaining(
                        field -> {
                            if (!field.getKey().equals("checks")) {
                                out.printf("%-22s %s%n", field.getKey(), field.getValue());
                            }
                        });
        for (Check check : mChecks) {
            out.printf(
                    "%-6s %s %s%n",
                    check.held() ? "held" : "BROKEN",
                    check.promise(),
                    check.detail().isEmpty() ? "" : "(" + check.detail() + ")");
        }
    }

    synchronized void check(String promise, boolean held, String detail) {
        mChecks.add(new Check(promise, held, detail));
    }

    synchronized void onAnswer(ReceivedStream stream, String expected, int units) {
        mRequests++;
        mFirstChunk.recordValue(Math.round(stream.firstChunkMillis() * MICROS));
        if (!stream.isDone()) {
            mInterrupted++;
            noteFault("not whole: " + stream.error() + " " + stream.refusal());
        } else if (!stream.text().equals(expected)) {
            mCrossed++;
            noteFault("wrong text of " + stream.text().length() + " chars after " + units);
        } else {
            mComplete++;
        }
    }

    synchronized void finish() {
        check("every stream was complete and in order", mInterrupted == 0, "");
        check("every caller got the answer to its own request", mCrossed == 0, "");
    }

    private void noteFault(String fault) {
        if (mFirstFault.isEmpty()) {
            mFirstFault = fault;
        }
    }

    private double millis(double percentile) {
        return mFirstChunk.getValueAtPercentile(percentile) / MICROS;
    }

    private record Check(String promise, boolean held, String detail) {}
}
