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
package org.quilldyke.gateway.platform;

import com.codahale.metrics.Counting;
import com.codahale.metrics.Gauge;
import com.codahale.metrics.Histogram;
import com.codahale.metrics.Metric;
import com.codahale.metrics.MetricRegistry;
import com.codahale.metrics.Snapshot;
import java.util.Map;

/** Metrics as text: a name and a value in each line. */
public final class MetricsText {
    /** Where metrics are served. */
    public static final String PATH = "/metrics";

    private MetricsText() {}

    /** Returns the present values. */
    public static String of(MetricRegistry metrics) {
        StringBuilder text = new StringBuilder();
        for (Map.Entry<String, Metric> entry : metrics.getMetrics().entrySet()) {
            append(text, entry.getKey(), entry.getValue());
        }
        return text.toString();
    }

    private static void append(StringBuilder text, String name, Metric metric) {
        if (metric instanceof Histogram histogram) {
            Snapshot snapshot = histogram.getSnapshot();
            line(text, name + ".p50", snapshot.getMedian());
            line(text, name + ".p99", snapshot.get99thPercentile());
            line(text, name + ".max", snapshot.getMax());
        }
        if (metric instanceof Counting counting) {
            line(text, name + ".count", counting.getCount());
        } else if (metric instanceof Gauge<?> gauge) {
            line(text, name, gauge.getValue());
        }
    }

    private static void line(StringBuilder text, String name, Object value) {
        text.append(name).append(' ').append(value).append('\n');
    }
}
