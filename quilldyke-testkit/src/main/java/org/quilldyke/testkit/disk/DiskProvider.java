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

import java.net.URI;
import java.nio.channels.FileChannel;
import java.nio.channels.SeekableByteChannel;
import java.nio.file.AccessMode;
import java.nio.file.CopyOption;
import java.nio.file.DirectoryStream;
import java.nio.file.FileStore;
import java.nio.file.FileSystem;
import java.nio.file.LinkOption;
import java.nio.file.NoSuchFileException;
import java.nio.file.OpenOption;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.nio.file.attribute.BasicFileAttributes;
import java.nio.file.attribute.FileAttribute;
import java.nio.file.attribute.FileAttributeView;
import java.nio.file.spi.FileSystemProvider;
import java.util.Map;
import java.util.Set;

/** Opens, renames and removes files of a {@link PowerLossDisk}. */
final class DiskProvider extends FileSystemProvider {
    @Override
    public FileChannel newFileChannel(
            Path path, Set<? extends OpenOption> options, FileAttribute<?>... attributes)
            throws NoSuchFileException {
        DiskPath at = (DiskPath) path;
        if (at.isFolder()) {
            return new DiskChannel(at.disk(), null);
        }
        DiskFile file = at.disk().find(at.name());
        if (file == null && !options.contains(StandardOpenOption.CREATE)) {
            throw new NoSuchFileException(path.toString());
        } else if (file == null) {
            file = at.disk().create(at.name());
        }
        DiskChannel channel = new DiskChannel(at.disk(), file);
        if (options.contains(StandardOpenOption.TRUNCATE_EXISTING)) {
            channel.truncate(0);
        }
        return channel;
    }

    @Override
    public SeekableByteChannel newByteChannel(
            Path path, Set<? extends OpenOption> options, FileAttribute<?>... attributes)
            throws NoSuchFileException {
        return newFileChannel(path, options, attributes);
    }

    @Override
    public void createDirectory(Path folder, FileAttribute<?>... attributes) {
        // The folder is always there.
    }

    @Override
    public void checkAccess(Path path, AccessMode... modes) throws NoSuchFileException {
        DiskPath at = (DiskPath) path;
        if (!at.isFolder() && at.disk().find(at.name()) == null) {
            throw new NoSuchFileException(path.toString());
        }
    }

    @Override
    public void delete(Path path) throws NoSuchFileException {
        checkAccess(path);
        ((DiskPath) path).disk().remove(((DiskPath) path).name());
    }

    @Override
    public void move(Path from, Path to, CopyOption... options) throws NoSuchFileException {
        checkAccess(from);
        ((DiskPath) from).disk().rename(((DiskPath) from).name(), ((DiskPath) to).name());
    }

    @Override
    public boolean isSameFile(Path one, Path other) {
        return one.equals(other);
    }

    @Override
    public boolean isHidden(Path path) {
        return false;
    }

    @Override
    public String getScheme() {
        return "power-loss";
    }

    @Override
    public FileSystem newFileSystem(URI uri, Map<String, ?> environment) {
        throw new UnsupportedOperationException();
    }

    @Override
    public FileSystem getFileSystem(URI uri) {
        throw new UnsupportedOperationException();
    }

    @Override
    public Path getPath(URI uri) {
        throw new UnsupportedOperationException();
    }

    @Override
    public DirectoryStream<Path> newDirectoryStream(
            Path folder, DirectoryStream.Filter<? super Path> filter) {
        throw new UnsupportedOperationException();
    }

    @Override
    public void copy(Path from, Path to, CopyOption... options) {
        throw new UnsupportedOperationException();
    }

    @Override
    public FileStore getFileStore(Path path) {
        throw new UnsupportedOperationException();
    }

    @Override
    public <V extends FileAttributeView> V getFileAttributeView(
            Path path, Class<V> type, LinkOption... options) {
        throw new UnsupportedOperationException();
    }

    @Override
    public <A extends BasicFileAttributes> A readAttributes(
            Path path, Class<A> type, LinkOption... options) {
        throw new UnsupportedOperationException();
    }

    @Override
    public Map<String, Object> readAttributes(Path path, String attributes, LinkOption... options) {
        throw new UnsupportedOperationException();
    }

    @Override
    public void setAttribute(Path path, String attribute, Object value, LinkOption... options) {
        throw new UnsupportedOperationException();
    }
}
