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

import java.nio.file.Path;
import java.util.List;
import org.quilldyke.QuilldykeException;
import org.quilldyke.control.Ballot;
import org.quilldyke.control.Compaction;
import org.quilldyke.control.DurableState;
import org.quilldyke.control.LogEntry;
import org.quilldyke.daemon.control.DataFolder;
import org.quilldyke.daemon.control.ReplicaStorage;

/** Data folders on disks that can be made slow while they are in use. */
final class SlowDisks implements ReplicaStorage.Opener {
    private volatile int mMillis;

    /** Sets how much longer each sync takes from now on. */
    void slowDownTo(int millis) {
        mMillis = millis;
    }

    @Override
    public ReplicaStorage open(Path folder) throws QuilldykeException {
        return new SlowFolder(DataFolder.open(folder));
    }

    private void delay() {
        try {
            Thread.sleep(mMillis);
        } catch (InterruptedException e) {
            // The replica was stopped and waits no longer for its disk.
            Thread.currentThread().interrupt();
        }
    }

    private final class SlowFolder implements ReplicaStorage {
        private final DataFolder mFiles;

        SlowFolder(DataFolder files) {
            mFiles = files;
        }

        @Override
        public DurableState load() throws QuilldykeException {
            return mFiles.load();
        }

        @Override
        public long cutBytes() {
            return mFiles.cutBytes();
        }

        @Override
        public void saveBallot(Ballot ballot) throws QuilldykeException {
            delay();
            mFiles.saveBallot(ballot);
        }

        @Override
        public void append(long firstIndex, List<LogEntry> entries) throws QuilldykeException {
            mFiles.append(firstIndex, entries);
        }

        @Override
        public void truncateFrom(long index) throws QuilldykeException {
            mFiles.truncateFrom(index);
        }

        @Override
        public void sync() throws QuilldykeException {
            delay();
            mFiles.sync();
        }

        @Override
        public void saveSnapshot(Compaction compaction) throws QuilldykeException {
            delay();
            mFiles.saveSnapshot(compaction);
        }

        @Override
        public void close() throws QuilldykeException {
            mFiles.close();
        }
    }
}
