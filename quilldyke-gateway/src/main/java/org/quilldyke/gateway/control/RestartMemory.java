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
import com.google.protobuf.MessageLite;
import com.google.protobuf.Parser;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.quilldyke.QuilldykeException;
import org.quilldyke.ResultCode;
import org.quilldyke.daemon.control.ControlLoop;
import org.quilldyke.daemon.control.DataFolder;
import org.quilldyke.daemon.control.DiskQueue;
import org.quilldyke.daemon.log.Event;
import org.quilldyke.daemon.log.EventLog;
import org.quilldyke.engine.TargetReport;
import org.quilldyke.gateway.engine.RefusalLog;
import org.quilldyke.gateway.instance.TargetFrames;
import org.quilldyke.gateway.instance.proto.CacheNews;
import org.quilldyke.gateway.instance.proto.Caches;
import org.quilldyke.gateway.instance.proto.CrashNews;
import org.quilldyke.gateway.instance.proto.Target;
import org.quilldyke.gateway.instance.proto.Targets;

/**
 * What a control process knew before its restart, kept on its disk: targets, and what they cached.
 * Best effort: a write that is under way or fails holds up nothing.
 *
 * <p>What is stored begins with its kind and the address of the process that stored it, so that
 * nothing is taken for what it isn't: files of another kind, or of another machine's folder.
 *
 * <p>While all processes are down no request reaches an engine, so what caches kept just before is
 * what they keep after it.
 */
final class RestartMemory {
    private static final String TARGETS = "targets";
    private static final String CACHES = "caches";
    private static final String LEAVES = "leaves";
    private static final String CRASHES = "crashes";

    private final DataFolder mFolder;
    private final DiskQueue mDisk;
    private final EventLog mLog;
    private final RefusalLog mRefused;
    private final String mOwner;
    private final Set<String> mSaving = new HashSet<>();

    private RestartMemory(
            DataFolder folder, DiskQueue disk, EventLog log, RefusalLog refused, String owner) {
        mFolder = folder;
        mDisk = disk;
        mLog = log;
        mRefused = refused;
        mOwner = owner;
    }

    /**
     * Returns a process's memory in a folder; its writes have a thread of their own.
     *
     * @param owner the process's address
     */
    static RestartMemory in(
            DataFolder folder, ControlLoop loop, EventLog log, RefusalLog refused, String owner) {
        return on(DiskQueue.create(loop, log), folder, log, refused, owner);
    }

    /** Returns a process's memory in a folder whose writes the given queue carries out. */
    static RestartMemory on(
            DiskQueue disk, DataFolder folder, EventLog log, RefusalLog refused, String owner) {
        return new RestartMemory(folder, disk, log, refused, owner);
    }

    /** Returns the targets that were stored last. */
    List<TargetReport> targets() {
        Targets stored = load(TARGETS, Targets.parser(), Targets.getDefaultInstance());
        List<TargetReport> reports = new ArrayList<>();
        for (Target target : stored.getTargetsList()) {
            try {
                reports.add(TargetFrames.decode(target).asRestored());
            } catch (QuilldykeException e) {
                mRefused.onRefused(RefusalLog.Source.MEMORY, target.getId(), e);
            }
        }
        return reports;
    }

    /** Returns what was stored last of targets that leave. */
    List<Target> leaves() {
        return load(LEAVES, Targets.parser(), Targets.getDefaultInstance()).getTargetsList();
    }

    /** Returns what was stored of caches last. */
    List<CacheNews> caches() {
        return load(CACHES, Caches.parser(), Caches.getDefaultInstance()).getCachesList();
    }

    /** Returns what was stored last of requests that crash targets. */
    CrashNews crashes() {
        return load(CRASHES, CrashNews.parser(), CrashNews.getDefaultInstance());
    }

    /** Stores targets; returns whether it is done, and not still busy with the write before. */
    boolean saveTargets(List<TargetReport> reports) {
        List<Target> targets = reports.stream().map(r -> TargetFrames.encode(r, 0)).toList();
        return save(TARGETS, Targets.newBuilder().addAllTargets(targets).build());
    }

    /** Stores what is known of targets that leave; returns as {@link #saveTargets}. */
    boolean saveLeaves(List<Target> leaves) {
        return save(LEAVES, Targets.newBuilder().addAllTargets(leaves).build());
    }

    /** Stores what caches keep; returns as {@link #saveTargets}. */
    boolean saveCaches(List<CacheNews> whole) {
        return save(CACHES, Caches.newBuilder().addAllCaches(whole).build());
    }

    /** Stores what is known of requests that crash targets; returns as {@link #saveTargets}. */
    boolean saveCrashes(CrashNews known) {
        return save(CRASHES, known);
    }

    void close() {
        mDisk.close();
    }

    private boolean save(String name, MessageLite content) {
        if (!mSaving.add(name)) {
            return false;
        }
        byte[] bytes = framed(name, mOwner, content);
        mDisk.submit(() -> mFolder.saveHint(name, bytes), () -> mSaving.remove(name));
        return true;
    }

    /** Returns the form in which a process stores a message. */
    static byte[] framed(String name, String owner, MessageLite content) {
        byte[] head = head(name, owner);
        byte[] message = content.toByteArray();
        return ByteBuffer.allocate(head.length + message.length).put(head).put(message).array();
    }

    private <T> T load(String name, Parser<T> parser, T none) {
        try {
            byte[] stored = mFolder.loadHint(name);
            int start = startOfMessage(stored, head(name, mOwner));
            return start < 0 ? none : parser.parseFrom(stored, start, stored.length - start);
        } catch (QuilldykeException e) {
            mLog.write(Event.DISK_FAILED, "detail", e.getMessage());
        } catch (InvalidProtocolBufferException e) {
            mLog.write(Event.INVARIANT, "detail", name + ": " + e.getMessage());
        }
        return none;
    }

    /** Returns where the message begins, or -1 if there is none of this kind and process. */
    private int startOfMessage(byte[] stored, byte[] head) {
        boolean isOurs =
                stored.length >= head.length
                        && Arrays.equals(stored, 0, head.length, head, 0, head.length);
        if (!isOurs && stored.length > 0) {
            mRefused.onRefused(
                    RefusalLog.Source.MEMORY,
                    "",
                    QuilldykeException.notRun(ResultCode.REPORT_UNREADABLE, "another's memory"));
        }
        return isOurs ? head.length : -1;
    }

    private static byte[] head(String name, String owner) {
        return (name + '\n' + owner + '\n').getBytes(StandardCharsets.UTF_8);
    }
}
