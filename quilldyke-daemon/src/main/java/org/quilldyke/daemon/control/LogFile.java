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

import it.unimi.dsi.fastutil.longs.LongArrayList;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.ArrayList;
import java.util.List;
import org.quilldyke.QuilldykeException;
import org.quilldyke.control.LogEntry;

/**
 * The file of a replicated log: records one after the other.
 *
 * <p>A record is length (4 bytes), CRC of all that follows it (4), index (8), term (8), payload. A
 * record at the end that isn't whole was never synced, and is cut off. A bad record that a good one
 * follows is damage, and is refused: what it held may have been acknowledged.
 */
final class LogFile implements AutoCloseable {
    private static final int PREFIX = 8;
    private static final int HEADER = PREFIX + 8 + 8 + 8 + 1;
    private static final int TERM = PREFIX + 8;
    private static final int SYNCED = TERM + 8;
    private static final int KIND = SYNCED + 8;
    private static final byte COMMAND = 0;
    private static final byte MEMBERSHIP = 1;
    private static final int MAX_PAYLOAD = 64 << 20;

    private final FileChannel mChannel;
    private final LongArrayList mOffsets = new LongArrayList();
    private List<LogEntry> mLoaded = new ArrayList<>();
    private long mFirstIndex;
    private long mEnd;
    private long mCut;
    private long mSynced;

    private LogFile(FileChannel channel, long baseIndex) {
        mChannel = channel;
        mFirstIndex = baseIndex + 1;
    }

    /**
     * Opens a log, makes it if it isn't there, and reads the entries after {@code baseIndex}.
     *
     * @throws QuilldykeException if the file is damaged in the middle
     */
    static LogFile open(Path file, long baseIndex) throws IOException, QuilldykeException {
        byte[] content = Files.exists(file) ? Files.readAllBytes(file) : new byte[0];
        FileChannel channel =
                FileChannel.open(file, StandardOpenOption.CREATE, StandardOpenOption.WRITE);
        LogFile log = new LogFile(channel, baseIndex);
        log.load(ByteBuffer.wrap(content));
        return log;
    }

    /** Returns the entries that were read, once. */
    List<LogEntry> takeLoaded() {
        List<LogEntry> loaded = mLoaded;
        mLoaded = List.of();
        return loaded;
    }

    long cutBytes() {
        return mCut;
    }

    /** Appends entries; what an earlier try has left behind {@code firstIndex} is replaced. */
    void append(long firstIndex, List<LogEntry> entries) throws IOException {
        truncateFrom(firstIndex);
        List<byte[]> contents = new ArrayList<>();
        int size = 0;
        for (LogEntry entry : entries) {
            byte[] content =
                    entry.membership() == null
                            ? entry.payload()
                            : ReplicaJson.encode(entry.membership());
            contents.add(content);
            size += HEADER + content.length;
        }
        ByteBuffer out = ByteBuffer.allocate(size);
        LongArrayList offsets = new LongArrayList();
        for (int i = 0; i < entries.size(); i++) {
            offsets.add(mEnd + out.position());
            put(out, firstIndex + i, entries.get(i), contents.get(i));
        }
        out.flip();
        mChannel.position(mEnd);
        DataFolder.writeAll(mChannel, out);
        mOffsets.addAll(offsets);
        mEnd += size;
    }

    /**
     * Removes entries. If some of them were synced, their removal is synced too: what is written in
     * their place may be torn, and must not look like damage to what the disk was known to hold.
     */
    void truncateFrom(long index) throws IOException {
        int kept = (int) (index - mFirstIndex);
        if (kept < mOffsets.size()) {
            mEnd = mOffsets.getLong(kept);
            mChannel.truncate(mEnd);
            mOffsets.size(kept);
        }
        if (index <= mSynced) {
            mChannel.force(false);
            mSynced = index - 1;
        }
    }

    void sync() throws IOException {
        mChannel.force(false);
        mSynced = mFirstIndex + mOffsets.size() - 1;
    }

    @Override
    public void close() throws IOException {
        mChannel.close();
    }

    private void put(ByteBuffer out, long index, LogEntry entry, byte[] content) {
        int start = out.position();
        out.putInt(content.length).putInt(0);
        out.putLong(index).putLong(entry.term()).putLong(mSynced);
        out.put(entry.membership() == null ? COMMAND : MEMBERSHIP).put(content);
        ByteBuffer covered = out.duplicate();
        covered.limit(out.position()).position(start + PREFIX);
        out.putInt(start + Integer.BYTES, DataFolder.crc(covered));
    }

    private void load(ByteBuffer in) throws IOException, QuilldykeException {
        while (in.hasRemaining()) {
            int start = in.position();
            if (!isRecord(in, start)) {
                cutTail(in, start);
                return;
            }
            int length = in.getInt(start);
            long index = in.getLong(start + PREFIX);
            LogEntry entry = entryAt(in, start, length);
            if (index >= mFirstIndex) {
                if (index != mFirstIndex + mOffsets.size()) {
                    throw DataFolder.damaged("log: index " + index + " is out of order");
                }
                mOffsets.add(start);
                mLoaded.add(entry);
            }
            mEnd = in.position();
        }
        mSynced = mFirstIndex + mOffsets.size() - 1;
    }

    private static LogEntry entryAt(ByteBuffer in, int start, int length)
            throws QuilldykeException {
        long term = in.getLong(start + TERM);
        byte[] content = new byte[length];
        in.position(start + HEADER);
        in.get(content);
        return in.get(start + KIND) == COMMAND
                ? new LogEntry(term, content)
                : LogEntry.ofMembership(term, ReplicaJson.membership(content));
    }

    /**
     * Cuts off what starts with a record that isn't whole.
     *
     * <p>After a loss of power, each write since the last sync may be there, missing or torn, so
     * whole records may follow one that isn't. But each record tells up to where the log was synced
     * when it was written: if that includes the broken one, the file is damaged.
     */
    private void cutTail(ByteBuffer in, int start) throws IOException, QuilldykeException {
        for (int at = start + 1; at + HEADER <= in.limit(); at++) {
            boolean later = isRecord(in, at) && in.getLong(at + PREFIX) >= mFirstIndex;
            if (later && in.getLong(at + SYNCED) >= mFirstIndex + mOffsets.size()) {
                throw DataFolder.damaged("log: record at byte " + start);
            }
        }
        mCut = in.limit() - start;
        mEnd = start;
        mChannel.truncate(start);
        mChannel.force(true);
        mSynced = mFirstIndex + mOffsets.size() - 1;
    }

    private static boolean isRecord(ByteBuffer in, int at) {
        if (at + HEADER > in.limit()) {
            return false;
        }
        int length = in.getInt(at);
        if (length < 0 || length > MAX_PAYLOAD || at + HEADER + length > in.limit()) {
            return false;
        }
        ByteBuffer covered = in.duplicate();
        covered.limit(at + HEADER + length).position(at + PREFIX);
        return DataFolder.crc(covered) == in.getInt(at + Integer.BYTES);
    }
}
