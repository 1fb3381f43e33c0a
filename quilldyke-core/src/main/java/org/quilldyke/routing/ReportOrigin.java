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
package org.quilldyke.routing;

/**
 * Where this instance's information on a target comes from.
 *
 * @param reporter the control process that last reported the target
 * @param reportedAt when a control process last received a report of the target itself, in
 *     milliseconds of this instance's monotonic clock
 */
public record ReportOrigin(String reporter, long reportedAt) {
    /** The origin for a target that no control process has reported. */
    public static final ReportOrigin UNKNOWN = new ReportOrigin("", Long.MIN_VALUE);

    /** Returns how old the information is at {@code now}, -1 if there is none. */
    public long ageMillis(long now) {
        return equals(UNKNOWN) ? -1 : now - reportedAt;
    }
}
