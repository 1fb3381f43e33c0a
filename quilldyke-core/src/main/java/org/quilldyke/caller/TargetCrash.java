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

import java.util.Set;

/**
 * The crash of a target that was working on requests, one of which may have caused it.
 *
 * @param target the incarnation that ended
 * @param requests the requests that it was running or had queued, and the parts of their prompts,
 *     as far as known
 * @param crashedAt when it ended, in milliseconds of this process's clock
 */
public record TargetCrash(String target, Set<RequestFingerprint> requests, long crashedAt) {}
