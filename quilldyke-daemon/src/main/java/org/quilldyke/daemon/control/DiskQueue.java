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

import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import org.quilldyke.QuilldykeException;
import org.quilldyke.daemon.log.Event;
import org.quilldyke.daemon.log.EventLog;

/**
 * Carries out writes one after the other on a thread of their own, so that a slow disk delays
 * nothing else. A write that fails is tried again until it succeeds: a full disk may have room
 * again.
 */
public final class DiskQueue {
    private static final long RETRY_MILLIS = 200;
    private static final long CLOSE_MILLIS = 500;

    private final ControlLoop mLoop;
    private final EventLog mLog;
    private final ExecutorService mThread;
    private volatile boolean mClosed;

    private DiskQueue(ExecutorService thread, ControlLoop loop, EventLog log) {
        mThread = thread;
        mLoop = loop;
        mLog = log;
    }

    /** Returns a queue with a thread of its own that reports to the given control thread. */
    public static DiskQueue create(ControlLoop loop, EventLog log) {
        ExecutorService thread =
                Executors.newSingleThreadExecutor(
                        task -> {
                            Thread daemon = new Thread(task, "disk");
                            daemon.setDaemon(true);
                            return daemon;
                        });
        return on(thread, loop, log);
    }

    /** Returns a queue on the given thread, which carries out one task after the other. */
    public static DiskQueue on(ExecutorService thread, ControlLoop loop, EventLog log) {
        return new DiskQueue(thread, loop, log);
    }

    /**
     * Carries out a write, then {@code done} on the control thread.
     *
     * @param write may be called several times
     */
    public void submit(Write write, Runnable done) {
        mThread.execute(
                () -> {
                    if (writeUntilDone(write)) {
                        mLoop.execute(done);
                    }
                });
    }

    /** Stops; waits a little for the write that is under way. */
    public void close() {
        mClosed = true;
        mThread.shutdown();
        try {
            if (!mThread.awaitTermination(CLOSE_MILLIS, TimeUnit.MILLISECONDS)) {
                mThread.shutdownNow();
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private boolean writeUntilDone(Write write) {
        boolean failed = false;
        while (!mClosed) {
            try {
                write.run();
                if (failed) {
                    mLog.write(Event.DISK_RECOVERED);
                }
                return true;
            } catch (QuilldykeException e) {
                if (!failed) {
                    mLog.write(Event.DISK_FAILED, "detail", e.getMessage());
                }
                failed = true;
            }
            pause();
        }
        return false;
    }

    private void pause() {
        try {
            TimeUnit.MILLISECONDS.sleep(RETRY_MILLIS);
        } catch (InterruptedException e) {
            // Only close() interrupts; the loop ends then.
            Thread.currentThread().interrupt();
        }
    }

    /** A write; repeating it does no harm. */
    public interface Write {
        /** Writes and syncs. */
        void run() throws QuilldykeException;
    }
}
