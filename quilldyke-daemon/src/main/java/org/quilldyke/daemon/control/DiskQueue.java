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

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.RejectedExecutionException;
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
    private final Deque<Job> mJobs = new ArrayDeque<>();
    private volatile boolean mClosed;
    private boolean mFailed;

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
        boolean idle;
        synchronized (mJobs) {
            idle = mJobs.isEmpty();
            mJobs.add(new Job(write, done));
        }
        if (idle) {
            carryOutFirst();
        }
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

    private void carryOutFirst() {
        if (mClosed) {
            return;
        }
        try {
            mThread.execute(this::tryFirst);
        } catch (RejectedExecutionException e) {
            // The queue was closed in between: what is left stays unwritten, as after a kill.
        }
    }

    /** Tries the first write, on the disk's thread; the others wait until it is done. */
    private void tryFirst() {
        if (mClosed) {
            return;
        }
        Job job;
        synchronized (mJobs) {
            job = mJobs.element();
        }
        try {
            job.write().run();
        } catch (QuilldykeException e) {
            onFailure(e);
            return;
        }
        if (mFailed) {
            mFailed = false;
            mLog.write(Event.DISK_RECOVERED);
        }
        mLoop.execute(job.done());
        onDone();
    }

    private void onFailure(QuilldykeException e) {
        if (!mFailed) {
            mLog.write(Event.DISK_FAILED, "detail", e.getMessage());
        }
        mFailed = true;
        mLoop.execute(() -> mLoop.schedule(RETRY_MILLIS, this::carryOutFirst));
    }

    private void onDone() {
        boolean more;
        synchronized (mJobs) {
            mJobs.remove();
            more = !mJobs.isEmpty();
        }
        if (more) {
            carryOutFirst();
        }
    }

    /** A write; repeating it does no harm. */
    public interface Write {
        /** Writes and syncs. */
        void run() throws QuilldykeException;
    }

    private record Job(Write write, Runnable done) {}
}
