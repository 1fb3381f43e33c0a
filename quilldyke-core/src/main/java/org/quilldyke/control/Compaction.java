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
package org.quilldyke.control;

import java.util.List;

/**
 * A compaction of the log: a snapshot replaces the entries up to {@code index}.
 *
 * @param index the last entry that the snapshot covers
 * @param term that entry's term
 * @param membership the membership as of that entry
 * @param snapshot the encoded state
 * @param remainingEntries the entries after {@code index}
 */
public record Compaction(
        long index,
        long term,
        Membership membership,
        byte[] snapshot,
        List<LogEntry> remainingEntries) {}
