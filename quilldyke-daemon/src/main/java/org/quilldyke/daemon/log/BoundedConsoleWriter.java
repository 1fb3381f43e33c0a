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
package org.quilldyke.daemon.log;

import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import org.tinylog.core.LogEntry;
import org.tinylog.core.LogEntryValue;
import org.tinylog.writers.AbstractFormatPatternWriter;

/**
 * Writes log lines to standard output on a thread of its own, and never holds up who logs.
 *
 * <p>As many lines as {@link #CAPACITY} wait if the output is slow or stands still; further ones
 * are left out, and the next line that is written is preceded by their number. Named {@code bounded
 * console} in tinylog's configuration.
 */
public final class BoundedConsoleWriter extends AbstractFormatPatternWriter {
    /** Some seconds of lines at the highest rate that one process has shown. */
    static final int CAPACITY = 4096;

    private static final long FLUSH_MILLIS = 300;
    private static final long POLL_MILLIS = 5;

    private final BlockingQueue<String> mLines = new ArrayBlockingQueue<>(CAPACITY);
    private final AtomicLong mLeftOut = new AtomicLong();
    private final AtomicLong mUnwritten = new AtomicLong();
    private final PrintStream mOut;

    /** Creates a writer to standard output, as tinylog does. */
    public BoundedConsoleWriter(Map<String, String> properties) {
        this(properties, System.out);
    }

    BoundedConsoleWriter(Map<String, String> properties, PrintStream out) {
        super(properties);
        mOut = out;
        Thread thread = new Thread(this::run, "log");
        thread.setDaemon(true);
        thread.start();
    }

    @Override
    public Collection<LogEntryValue> getRequiredLogEntryValues() {
        return super.getRequiredLogEntryValues();
    }

    @Override
    public void write(LogEntry entry) {
        add(render(entry));
    }

    /** Takes a line, or leaves it out if too many wait. */
    void add(String line) {
        mUnwritten.incrementAndGet();
        if (!mLines.offer(line)) {
            mUnwritten.decrementAndGet();
            mLeftOut.incrementAndGet();
        }
    }

    /** Returns how many lines were left out and not told of yet. */
    long leftOut() {
        return mLeftOut.get();
    }

    @Override
    public void flush() {
        long until = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(FLUSH_MILLIS);
        while (mUnwritten.get() > 0 && System.nanoTime() < until) {
            try {
                TimeUnit.MILLISECONDS.sleep(POLL_MILLIS);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
                return;
            }
        }
    }

    @Override
    public void close() {
        flush();
    }

    private void run() {
        List<String> batch = new ArrayList<>();
        try {
            while (true) {
                batch.add(mLines.take());
                mLines.drainTo(batch);
                print(batch);
                mUnwritten.addAndGet(-batch.size());
                batch.clear();
            }
        } catch (InterruptedException e) {
            // Nobody interrupts this thread; it ends with the process.
            Thread.currentThread().interrupt();
        }
    }

    private void print(List<String> batch) {
        StringBuilder text = new StringBuilder();
        long leftOut = mLeftOut.getAndSet(0);
        if (leftOut > 0) {
            text.append(leftOut).append(" log lines were left out\n");
        }
        batch.forEach(text::append);
        byte[] bytes = text.toString().getBytes(StandardCharsets.UTF_8);
        mOut.write(bytes, 0, bytes.length);
        mOut.flush();
    }
}
