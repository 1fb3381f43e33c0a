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
package org.quilldyke.gateway.control;

import com.google.protobuf.InvalidProtocolBufferException;
import java.util.List;
import org.quilldyke.QuilldykeException;
import org.quilldyke.daemon.control.ControlLoop;
import org.quilldyke.daemon.control.DataFolder;
import org.quilldyke.daemon.control.DiskQueue;
import org.quilldyke.daemon.log.Event;
import org.quilldyke.daemon.log.EventLog;
import org.quilldyke.engine.TargetReport;
import org.quilldyke.gateway.instance.TargetFrames;
import org.quilldyke.gateway.instance.proto.Target;
import org.quilldyke.gateway.instance.proto.Targets;

/**
 * The targets that a control process knew before its restart, kept on its disk. Best effort: a
 * write that is under way or fails holds up nothing.
 */
final class TargetMemory {
    private final DataFolder mFolder;
    private final DiskQueue mDisk;
    private final EventLog mLog;
    private boolean mSaving;

    private TargetMemory(DataFolder folder, DiskQueue disk, EventLog log) {
        mFolder = folder;
        mDisk = disk;
        mLog = log;
    }

    /** Returns the memory in a folder; its writes have a thread of their own. */
    static TargetMemory in(DataFolder folder, ControlLoop loop, EventLog log) {
        return new TargetMemory(folder, DiskQueue.create(loop, log), log);
    }

    /** Returns the targets that were stored last. */
    List<TargetReport> load() {
        try {
            return Targets.parseFrom(mFolder.loadTargets()).getTargetsList().stream()
                    .map(TargetFrames::decode)
                    .map(TargetReport::remembered)
                    .toList();
        } catch (QuilldykeException e) {
            mLog.write(Event.DISK_FAILED, "detail", e.getMessage());
        } catch (InvalidProtocolBufferException e) {
            mLog.write(Event.INVARIANT, "detail", e.getMessage());
        }
        return List.of();
    }

    /** Stores targets; returns whether it is done, and not still busy with the write before. */
    boolean save(List<TargetReport> reports) {
        if (mSaving) {
            return false;
        }
        mSaving = true;
        List<Target> targets = reports.stream().map(r -> TargetFrames.encode(r, 0)).toList();
        byte[] bytes = Targets.newBuilder().addAllTargets(targets).build().toByteArray();
        mDisk.submit(() -> mFolder.saveTargets(bytes), () -> mSaving = false);
        return true;
    }

    void close() {
        mDisk.close();
    }
}
