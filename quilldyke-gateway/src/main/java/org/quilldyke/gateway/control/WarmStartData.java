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
import org.quilldyke.gateway.instance.proto.OriginSegment;
import org.quilldyke.gateway.instance.proto.Target;
import org.quilldyke.gateway.instance.proto.Targets;

/**
 * The targets, cache contents, crash evidence and origins of streams that a control process saves
 * to disk, so that it is ready sooner after a restart. Best effort: pending and failed writes block
 * nothing.
 *
 * <p>Each file starts with its kind and the address of the process that saved it, so that files of
 * another kind, or copied from another machine's folder, are ignored.
 *
 * <p>Cache contents stay accurate while all processes are down, since no request reaches an engine
 * meanwhile.
 */
final class WarmStartData {
    private static final String TARGETS = "targets";
    private static final String CACHES = "caches";
    private static final String LEAVES = "leaves";
    private static final String CRASHES = "crashes";
    private static final String ORIGINS = "origins-";

    private final DataFolder mFolder;
    private final DiskQueue mDiskQueue;
    private final EventLog mLog;
    private final RefusalLog mRejectedReports;
    private final String mOwner;
    private final Set<String> mWritesInProgress = new HashSet<>();

    private WarmStartData(
            DataFolder folder,
            DiskQueue diskQueue,
            EventLog log,
            RefusalLog rejectedReports,
            String owner) {
        mFolder = folder;
        mDiskQueue = diskQueue;
        mLog = log;
        mRejectedReports = rejectedReports;
        mOwner = owner;
    }

    /**
     * Opens a process's data; its writes run on a thread of their own.
     *
     * @param owner the process's address
     */
    static WarmStartData open(
            DataFolder folder,
            ControlLoop loop,
            EventLog log,
            RefusalLog rejectedReports,
            String owner) {
        return withQueue(DiskQueue.create(loop, log), folder, log, rejectedReports, owner);
    }

    /** Opens a process's data; its writes run on the given queue. */
    static WarmStartData withQueue(
            DiskQueue diskQueue,
            DataFolder folder,
            EventLog log,
            RefusalLog rejectedReports,
            String owner) {
        return new WarmStartData(folder, diskQueue, log, rejectedReports, owner);
    }

    /** Returns the saved targets, without those that are invalid. */
    List<TargetReport> targets() {
        Targets stored = load(TARGETS, Targets.parser(), Targets.getDefaultInstance());
        List<TargetReport> reports = new ArrayList<>();
        for (Target target : stored.getTargetsList()) {
            try {
                reports.add(TargetFrames.decode(target).asRestored());
            } catch (QuilldykeException e) {
                mRejectedReports.onRefused(RefusalLog.Source.MEMORY, target.getId(), e);
            }
        }
        return reports;
    }

    /** Returns the saved leaves. */
    List<Target> leaves() {
        return load(LEAVES, Targets.parser(), Targets.getDefaultInstance()).getTargetsList();
    }

    /** Returns the saved cache contents. */
    List<CacheNews> caches() {
        return load(CACHES, Caches.parser(), Caches.getDefaultInstance()).getCachesList();
    }

    /** Returns the saved evidence on requests that crash targets. */
    CrashNews crashes() {
        return load(CRASHES, CrashNews.parser(), CrashNews.getDefaultInstance());
    }

    /** Returns a saved segment of the origins of streams. */
    OriginSegment originSegment(int slot) {
        return load(ORIGINS + slot, OriginSegment.parser(), OriginSegment.getDefaultInstance());
    }

    /**
     * Saves targets.
     *
     * @return whether the write was submitted; false while the previous one is pending
     */
    boolean saveTargets(List<TargetReport> reports) {
        List<Target> targets =
                reports.stream().map(report -> TargetFrames.encode(report, 0)).toList();
        return save(TARGETS, Targets.newBuilder().addAllTargets(targets).build());
    }

    /** Saves leaves; returns as {@link #saveTargets}. */
    boolean saveLeaves(List<Target> leaves) {
        return save(LEAVES, Targets.newBuilder().addAllTargets(leaves).build());
    }

    /** Saves cache contents; returns as {@link #saveTargets}. */
    boolean saveCaches(List<CacheNews> contents) {
        return save(CACHES, Caches.newBuilder().addAllCaches(contents).build());
    }

    /** Saves evidence on requests that crash targets; returns as {@link #saveTargets}. */
    boolean saveCrashes(CrashNews crashes) {
        return save(CRASHES, crashes);
    }

    /** Saves a segment of the origins of streams; returns as {@link #saveTargets}. */
    boolean saveOriginSegment(int slot, OriginSegment segment) {
        return save(ORIGINS + slot, segment);
    }

    void close() {
        mDiskQueue.close();
    }

    private boolean save(String name, MessageLite content) {
        if (!mWritesInProgress.add(name)) {
            return false;
        }
        byte[] bytes = frame(name, mOwner, content);
        mDiskQueue.submit(
                () -> mFolder.saveHint(name, bytes), () -> mWritesInProgress.remove(name));
        return true;
    }

    /** Returns the contents of a file: a header with kind and owner, and the message. */
    static byte[] frame(String name, String owner, MessageLite content) {
        byte[] header = header(name, owner);
        byte[] message = content.toByteArray();
        return ByteBuffer.allocate(header.length + message.length).put(header).put(message).array();
    }

    private <T> T load(String name, Parser<T> parser, T defaultValue) {
        try {
            byte[] stored = mFolder.loadHint(name);
            int offset = messageOffset(stored, header(name, mOwner));
            return offset < 0
                    ? defaultValue
                    : parser.parseFrom(stored, offset, stored.length - offset);
        } catch (QuilldykeException e) {
            mLog.write(Event.DISK_FAILED, "detail", e.getMessage());
        } catch (InvalidProtocolBufferException e) {
            mLog.write(Event.INVARIANT, "detail", name + ": " + e.getMessage());
        }
        return defaultValue;
    }

    /** Returns the offset of the message, or -1 if the file is of another kind or process. */
    private int messageOffset(byte[] stored, byte[] header) {
        boolean matches =
                stored.length >= header.length
                        && Arrays.equals(stored, 0, header.length, header, 0, header.length);
        if (!matches && stored.length > 0) {
            mRejectedReports.onRefused(
                    RefusalLog.Source.MEMORY,
                    "",
                    QuilldykeException.notRun(
                            ResultCode.REPORT_UNREADABLE, "file of another kind or process"));
        }
        return matches ? header.length : -1;
    }

    private static byte[] header(String name, String owner) {
        return (name + '\n' + owner + '\n').getBytes(StandardCharsets.UTF_8);
    }
}
