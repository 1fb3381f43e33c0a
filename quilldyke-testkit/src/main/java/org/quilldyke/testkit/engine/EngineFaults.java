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
package org.quilldyke.testkit.engine;

/** Faults that a test or the demo switches on in an engine. Not safe outside its event loop. */
final class EngineFaults {
    /** Answer streams break after this many more chunks are sent, -1 for never. */
    int mBreakAfterTokens = -1;

    /** All work stands still, as in a long pause. */
    boolean mFrozen;

    /** New requests are refused unrun. */
    boolean mRefuse;

    /** The rest of a run's answer is refused; the run goes on. */
    boolean mRefuseResumes;

    /** Grows when all answer streams that are open break; the runs go on. */
    int mBreaks;

    /** Answers carry the id of another request. */
    boolean mCrossIds;
}
