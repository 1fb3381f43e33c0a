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

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.nio.file.StandardOpenOption;
import java.util.List;
import java.util.zip.CRC32C;
import org.quilldyke.Outcome;
import org.quilldyke.QuilldykeException;
import org.quilldyke.ResultCode;
import org.quilldyke.control.Ballot;
import org.quilldyke.control.Compaction;
import org.quilldyke.control.DurableState;
import org.quilldyke.control.LogEntry;
import org.quilldyke.control.Membership;

/**
 * The files of one replica: {@code ballot}, {@code snapshot} and {@code log}, in one folder.
 *
 * <p>Ballot and snapshot are replaced whole: written beside, synced, renamed, and the folder
 * synced. Log records are appended and count once {@link #sync} has returned. Layout of a checked
 * file: CRC (4 bytes), then the content; of a snapshot's content: index (8), term (8), state.
 */
public final class DataFolder implements ReplicaStorage {
    private static final String BALLOT = "ballot";
    private static final String SNAPSHOT = "snapshot";
    private static final String LOG = "log";
    private static final String IDENTITY = "identity";
    private static final String HINTS = "hint-";
    private static final int SNAPSHOT_HEADER = 20;

    private final Path mFolder;
    private LogFile mLog;

    private DataFolder(Path folder) {
        mFolder = folder;
    }

    /**
     * Opens a folder and makes it if it isn't there.
     *
     * @throws QuilldykeException {@link ResultCode#DISK_FAILED} if it can't be written
     */
    public static DataFolder open(Path folder) throws QuilldykeException {
        try {
            Files.createDirectories(folder);
        } catch (IOException e) {
            throw failed(e);
        }
        return new DataFolder(folder);
    }

    @Override
    public DurableState load() throws QuilldykeException {
        try {
            byte[] ballotBytes = readChecked(BALLOT);
            Ballot ballot = ballotBytes == null ? Ballot.empty() : ReplicaJson.ballot(ballotBytes);
            ByteBuffer snapshot = ByteBuffer.allocate(SNAPSHOT_HEADER);
            byte[] snapshotBytes = readChecked(SNAPSHOT);
            if (snapshotBytes != null) {
                snapshot = ByteBuffer.wrap(snapshotBytes);
            }
            long index = snapshot.getLong();
            long term = snapshot.getLong();
            byte[] members = new byte[snapshot.getInt()];
            snapshot.get(members);
            Membership membership =
                    members.length == 0 ? Membership.empty() : ReplicaJson.membership(members);
            byte[] state = new byte[snapshot.remaining()];
            snapshot.get(state);
            mLog = LogFile.open(mFolder.resolve(LOG), index);
            // What a process wrote that was killed before its sync is found, but not yet durable.
            mLog.sync();
            syncFolder();
            return new DurableState(ballot, index, term, state, membership, mLog.takeLoaded());
        } catch (IOException e) {
            throw failed(e);
        }
    }

    @Override
    public long cutBytes() {
        return mLog.cutBytes();
    }

    @Override
    public void saveBallot(Ballot ballot) throws QuilldykeException {
        try {
            writeChecked(BALLOT, ByteBuffer.wrap(ReplicaJson.encode(ballot)));
        } catch (IOException e) {
            throw failed(e);
        }
    }

    @Override
    public void append(long firstIndex, List<LogEntry> entries) throws QuilldykeException {
        try {
            mLog.append(firstIndex, entries);
        } catch (IOException e) {
            throw failed(e);
        }
    }

    @Override
    public void truncateFrom(long index) throws QuilldykeException {
        try {
            mLog.truncateFrom(index);
        } catch (IOException e) {
            throw failed(e);
        }
    }

    @Override
    public void sync() throws QuilldykeException {
        try {
            mLog.sync();
        } catch (IOException e) {
            throw failed(e);
        }
    }

    @Override
    public void saveSnapshot(Compaction compaction) throws QuilldykeException {
        try {
            byte[] members = ReplicaJson.encode(compaction.membership());
            byte[] state = compaction.snapshot();
            ByteBuffer content =
                    ByteBuffer.allocate(SNAPSHOT_HEADER + members.length + state.length);
            content.putLong(compaction.index()).putLong(compaction.term());
            content.putInt(members.length).put(members).put(state).flip();
            writeChecked(SNAPSHOT, content);
            Path next = mFolder.resolve(LOG + ".tmp");
            Files.deleteIfExists(next);
            LogFile file = LogFile.open(next, compaction.index());
            file.append(compaction.index() + 1, compaction.remainingEntries());
            file.sync();
            Files.move(next, mFolder.resolve(LOG), StandardCopyOption.ATOMIC_MOVE);
            syncFolder();
            mLog.close();
            mLog = file;
        } catch (IOException e) {
            throw failed(e);
        }
    }

    /**
     * Returns the name under which this folder's replica takes part, empty if it has none yet.
     *
     * @throws QuilldykeException as {@link #load}
     */
    public byte[] loadIdentity() throws QuilldykeException {
        try {
            byte[] bytes = readChecked(IDENTITY);
            return bytes == null ? new byte[0] : bytes;
        } catch (IOException e) {
            throw failed(e);
        }
    }

    /** Stores the name under which this folder's replica takes part. */
    public void saveIdentity(byte[] identity) throws QuilldykeException {
        try {
            writeChecked(IDENTITY, ByteBuffer.wrap(identity));
        } catch (IOException e) {
            throw failed(e);
        }
    }

    /**
     * Returns a hint that was stored last; empty if there is none, or none whole: hints make a
     * restart quicker, and no promise hangs on them.
     *
     * @param name which one
     * @throws QuilldykeException {@link ResultCode#DISK_FAILED} if the disk can't be read
     */
    public byte[] loadHint(String name) throws QuilldykeException {
        try {
            byte[] bytes = readChecked(HINTS + name);
            return bytes == null ? new byte[0] : bytes;
        } catch (IOException e) {
            throw failed(e);
        } catch (QuilldykeException e) {
            if (e.code() != ResultCode.LOG_DAMAGED) {
                throw e;
            }
            return new byte[0];
        }
    }

    /** Stores a hint. */
    public void saveHint(String name, byte[] content) throws QuilldykeException {
        try {
            writeChecked(HINTS + name, ByteBuffer.wrap(content));
        } catch (IOException e) {
            throw failed(e);
        }
    }

    /**
     * Removes all files, so that the replica can start anew under another name; the name first, for
     * good, since it vouches for the others.
     */
    public void clear() throws QuilldykeException {
        try {
            Files.deleteIfExists(mFolder.resolve(IDENTITY));
            syncFolder();
            for (String name : List.of(BALLOT, SNAPSHOT, LOG, LOG + ".tmp")) {
                Files.deleteIfExists(mFolder.resolve(name));
            }
            syncFolder();
        } catch (IOException e) {
            throw failed(e);
        }
    }

    @Override
    public void close() throws QuilldykeException {
        try {
            if (mLog != null) {
                mLog.close();
            }
        } catch (IOException e) {
            throw failed(e);
        }
    }

    private byte[] readChecked(String name) throws IOException, QuilldykeException {
        Path file = mFolder.resolve(name);
        if (!Files.exists(file)) {
            return null;
        }
        ByteBuffer bytes = ByteBuffer.wrap(Files.readAllBytes(file));
        if (bytes.remaining() < Integer.BYTES) {
            throw damaged(name);
        }
        int expected = bytes.getInt();
        byte[] content = new byte[bytes.remaining()];
        bytes.get(content);
        if (crc(ByteBuffer.wrap(content)) != expected) {
            throw damaged(name);
        }
        return content;
    }

    private void writeChecked(String name, ByteBuffer content) throws IOException {
        Path next = mFolder.resolve(name + ".tmp");
        try (FileChannel channel =
                FileChannel.open(
                        next,
                        StandardOpenOption.CREATE,
                        StandardOpenOption.TRUNCATE_EXISTING,
                        StandardOpenOption.WRITE)) {
            ByteBuffer head = ByteBuffer.allocate(Integer.BYTES);
            head.putInt(crc(content.duplicate())).flip();
            writeAll(channel, head);
            writeAll(channel, content);
            channel.force(true);
        }
        Files.move(next, mFolder.resolve(name), StandardCopyOption.ATOMIC_MOVE);
        syncFolder();
    }

    private void syncFolder() throws IOException {
        try (FileChannel channel = FileChannel.open(mFolder, StandardOpenOption.READ)) {
            channel.force(true);
        }
    }

    static void writeAll(FileChannel channel, ByteBuffer bytes) throws IOException {
        while (bytes.hasRemaining()) {
            channel.write(bytes);
        }
    }

    static int crc(ByteBuffer content) {
        CRC32C crc = new CRC32C();
        crc.update(content);
        return (int) crc.getValue();
    }

    static QuilldykeException damaged(String where) {
        return QuilldykeException.of(ResultCode.LOG_DAMAGED, Outcome.NOT_RUN, where);
    }

    private static QuilldykeException failed(IOException e) {
        return QuilldykeException.of(ResultCode.DISK_FAILED, Outcome.UNKNOWN, e.toString(), e);
    }
}
