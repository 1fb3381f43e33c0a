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
package org.quilldyke.daemon.control;

import java.nio.file.Path;
import java.util.List;
import org.quilldyke.QuilldykeException;
import org.quilldyke.control.Ballot;
import org.quilldyke.control.Compaction;
import org.quilldyke.control.DurableState;
import org.quilldyke.control.LogEntry;

/**
 * Where a replica keeps what must survive a restart.
 *
 * <p>A write that has failed may be repeated. All calls but {@link #load} come from one thread.
 */
public interface ReplicaStorage extends AutoCloseable {
    /** Reads what is stored. Call it once, first. */
    DurableState load() throws QuilldykeException;

    /** Returns how many bytes of a record that was not written whole were cut off by the load. */
    long cutBytes();

    /** Replaces the ballot and syncs it. */
    void saveBallot(Ballot ballot) throws QuilldykeException;

    /** Appends entries; they count after {@link #sync}. */
    void append(long firstIndex, List<LogEntry> entries) throws QuilldykeException;

    /** Removes the entry at {@code index} and all after it. */
    void truncateFrom(long index) throws QuilldykeException;

    /** Waits until all that was appended or removed is on the disk. */
    void sync() throws QuilldykeException;

    /** Saves a snapshot of the state and drops the log's entries that it covers. */
    void saveSnapshot(Compaction compaction) throws QuilldykeException;

    @Override
    void close() throws QuilldykeException;

    /** Opens what a replica keeps in a folder. */
    interface Opener {
        /** Opens a folder and makes it if it isn't there. */
        ReplicaStorage open(Path folder) throws QuilldykeException;
    }
}
