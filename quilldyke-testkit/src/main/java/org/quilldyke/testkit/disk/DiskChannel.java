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
package org.quilldyke.testkit.disk;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.MappedByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.channels.FileLock;
import java.nio.channels.ReadableByteChannel;
import java.nio.channels.WritableByteChannel;

/** A file, or the folder, of a {@link PowerLossDisk} opened by a program. */
final class DiskChannel extends FileChannel {
    private final PowerLossDisk mDisk;
    private final DiskFile mFile;
    private int mPosition;

    /** Opens a file, or the folder for {@code null}. */
    DiskChannel(PowerLossDisk disk, DiskFile file) {
        mDisk = disk;
        mFile = file;
    }

    @Override
    public int read(ByteBuffer out) {
        int read = read(out, mPosition);
        mPosition += Math.max(0, read);
        return read;
    }

    @Override
    public int read(ByteBuffer out, long position) {
        byte[] content = mFile.content();
        if (position >= content.length) {
            return -1;
        }
        int read = (int) Math.min(out.remaining(), content.length - position);
        out.put(content, (int) position, read);
        return read;
    }

    @Override
    public int write(ByteBuffer in) throws IOException {
        int written = write(in, mPosition);
        mPosition += written;
        return written;
    }

    @Override
    public int write(ByteBuffer in, long position) throws IOException {
        byte[] bytes = new byte[mDisk.takeRoom(in.remaining())];
        if (bytes.length == 0 && in.hasRemaining()) {
            throw new IOException("No space left on device");
        }
        in.get(bytes);
        mDisk.operate(() -> mFile.write((int) position, bytes));
        return bytes.length;
    }

    @Override
    public FileChannel truncate(long size) {
        if (size < mFile.content().length) {
            mDisk.operate(() -> mFile.setLength((int) size));
        }
        mPosition = (int) Math.min(mPosition, size);
        return this;
    }

    @Override
    public void force(boolean metaData) {
        if (mFile == null) {
            mDisk.syncFolder();
        } else {
            mDisk.sync(mFile);
        }
    }

    @Override
    public long position() {
        return mPosition;
    }

    @Override
    public FileChannel position(long position) {
        mPosition = (int) position;
        return this;
    }

    @Override
    public long size() {
        return mFile.content().length;
    }

    @Override
    protected void implCloseChannel() {
        // What was written stays as it is, synced or not.
    }

    @Override
    public long read(ByteBuffer[] out, int offset, int length) {
        throw new UnsupportedOperationException();
    }

    @Override
    public long write(ByteBuffer[] in, int offset, int length) {
        throw new UnsupportedOperationException();
    }

    @Override
    public long transferTo(long position, long count, WritableByteChannel target) {
        throw new UnsupportedOperationException();
    }

    @Override
    public long transferFrom(ReadableByteChannel source, long position, long count) {
        throw new UnsupportedOperationException();
    }

    @Override
    public MappedByteBuffer map(MapMode mode, long position, long size) {
        throw new UnsupportedOperationException();
    }

    @Override
    public FileLock lock(long position, long size, boolean shared) {
        throw new UnsupportedOperationException();
    }

    @Override
    public FileLock tryLock(long position, long size, boolean shared) {
        throw new UnsupportedOperationException();
    }
}
