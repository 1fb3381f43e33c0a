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
import java.nio.file.FileSystem;
import java.nio.file.LinkOption;
import java.nio.file.Path;
import java.nio.file.WatchEvent;
import java.nio.file.WatchKey;
import java.nio.file.WatchService;

/** A {@link PowerLossDisk}'s folder, or a file in it. */
final class DiskPath implements Path {
    private final PowerLossDisk mDisk;
    private final String mName;
    private final DiskFileSystem mFileSystem;

    private DiskPath(PowerLossDisk disk, String name, DiskFileSystem fileSystem) {
        mDisk = disk;
        mName = name;
        mFileSystem = fileSystem == null ? new DiskFileSystem(this) : fileSystem;
    }

    static DiskPath folderOf(PowerLossDisk disk) {
        return new DiskPath(disk, "", null);
    }

    PowerLossDisk disk() {
        return mDisk;
    }

    String name() {
        return mName;
    }

    boolean isFolder() {
        return mName.isEmpty();
    }

    @Override
    public DiskPath resolve(String name) {
        return new DiskPath(mDisk, name, mFileSystem);
    }

    @Override
    public FileSystem getFileSystem() {
        return mFileSystem;
    }

    @Override
    public boolean isAbsolute() {
        return true;
    }

    @Override
    public Path toAbsolutePath() {
        return this;
    }

    @Override
    public Path normalize() {
        return this;
    }

    @Override
    public Path toRealPath(LinkOption... options) {
        return this;
    }

    @Override
    public Path getRoot() {
        return resolve("");
    }

    @Override
    public Path getParent() {
        return isFolder() ? null : resolve("");
    }

    @Override
    public Path getFileName() {
        return this;
    }

    @Override
    public int getNameCount() {
        return isFolder() ? 0 : 1;
    }

    @Override
    public int compareTo(Path other) {
        return mName.compareTo(((DiskPath) other).mName);
    }

    @Override
    public boolean equals(Object other) {
        return other instanceof DiskPath path && path.mDisk == mDisk && path.mName.equals(mName);
    }

    @Override
    public int hashCode() {
        return mName.hashCode();
    }

    @Override
    public String toString() {
        return "/" + mName;
    }

    @Override
    public Path getName(int index) {
        throw new UnsupportedOperationException();
    }

    @Override
    public Path subpath(int beginIndex, int endIndex) {
        throw new UnsupportedOperationException();
    }

    @Override
    public boolean startsWith(Path other) {
        throw new UnsupportedOperationException();
    }

    @Override
    public boolean endsWith(Path other) {
        throw new UnsupportedOperationException();
    }

    @Override
    public Path resolve(Path other) {
        throw new UnsupportedOperationException();
    }

    @Override
    public Path relativize(Path other) {
        throw new UnsupportedOperationException();
    }

    @Override
    public URI toUri() {
        throw new UnsupportedOperationException();
    }

    @Override
    public WatchKey register(
            WatchService watcher, WatchEvent.Kind<?>[] events, WatchEvent.Modifier... modifiers) {
        throw new UnsupportedOperationException();
    }
}
