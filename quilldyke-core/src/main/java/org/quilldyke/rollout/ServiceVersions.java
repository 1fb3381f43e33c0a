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
package org.quilldyke.rollout;

import java.util.List;

/**
 * The latest rollout of a service, and the software versions that may get no requests any more.
 *
 * @param rollout the latest rollout
 * @param retired the versions that were reverted, or replaced by a completed rollout; the oldest
 *     first
 */
public record ServiceVersions(Rollout rollout, List<String> retired) {
    /** Older entries are removed: their targets stopped long ago. */
    public static final int MAX_RETIRED = 32;

    /** Copies the versions. */
    public ServiceVersions {
        retired = List.copyOf(retired);
    }
}
