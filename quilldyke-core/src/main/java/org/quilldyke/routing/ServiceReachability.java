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
 * How many targets of a service are alive as far as control processes know, and as far as this
 * instance sees: if many report themselves and none responds, paths are missing, not targets.
 *
 * @param known the number of known targets
 * @param reported how many of them have reported themselves lately to a control process
 * @param responding how many of them have sent data to this instance lately
 */
public record ServiceReachability(int known, int reported, int responding) {
    /** Reports and data that are older than this aren't counted. */
    static final long RECENT_MILLIS = 3000;
}
