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
package org.quilldyke.daemon.engine;

import io.activej.bytebuf.ByteBuf;
import io.activej.csp.supplier.ChannelSupplier;
import io.activej.promise.Promise;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;

/**
 * Splits a response body into server-sent events (WHATWG HTML, section 9.2).
 *
 * <p>Reads no further than it is asked to, so a slow reader slows the sender. Comments and fields
 * other than {@code id} and {@code data} are skipped. Holds one event at most.
 */
public final class SseReader {
    private static final int MAX_EVENT_BYTES = 4 << 20;
    private static final int FIRST_BYTES = 1024;
    private static final int READS_AFTER_END = 4;

    private final ChannelSupplier<ByteBuf> mBody;
    private byte[] mBytes = new byte[FIRST_BYTES];
    private int mLength;
    private int mScanned;

    private SseReader(ChannelSupplier<ByteBuf> body) {
        mBody = body;
    }

    /** Returns a reader of a response's body. */
    public static SseReader of(ChannelSupplier<ByteBuf> body) {
        return new SseReader(body);
    }

    /**
     * Returns the events that have come, at least one unless only comments came; null at the end of
     * the body. Fails if the body breaks off or an event is too long.
     */
    public Promise<List<SseEvent>> read() {
        return mBody.get()
                .then(
                        buf -> {
                            if (buf == null) {
                                return Promise.of(null);
                            }
                            append(buf);
                            List<SseEvent> events = split();
                            if (mLength > MAX_EVENT_BYTES) {
                                return Promise.ofException(new IOException("event too long"));
                            }
                            return Promise.of(events);
                        });
    }

    /** Reads what little follows the last event, so that the connection can be used again. */
    public void finish() {
        finish(READS_AFTER_END);
    }

    /** Closes the body, and with it the connection if the body isn't at its end. */
    public void close() {
        mBody.close();
    }

    private void finish(int readsLeft) {
        mBody.get()
                .whenResult(
                        buf -> {
                            if (buf == null) {
                                return;
                            }
                            buf.recycle();
                            if (readsLeft == 0) {
                                close();
                            } else {
                                finish(readsLeft - 1);
                            }
                        });
    }

    private void append(ByteBuf buf) {
        int more = buf.readRemaining();
        if (mLength + more > mBytes.length) {
            mBytes = Arrays.copyOf(mBytes, Math.max(2 * mBytes.length, mLength + more));
        }
        buf.drainTo(mBytes, mLength, more);
        buf.recycle();
        mLength += more;
    }

    private List<SseEvent> split() {
        List<SseEvent> events = new ArrayList<>();
        int start = 0;
        int at = Math.max(mScanned, 1);
        while (at < mLength) {
            if (mBytes[at] == '\n' && mBytes[at - 1] == '\n') {
                SseEvent event = parse(start, at);
                if (event != null) {
                    events.add(event);
                }
                start = at + 1;
                at = start + 1;
            } else {
                at++;
            }
        }
        System.arraycopy(mBytes, start, mBytes, 0, mLength - start);
        mLength -= start;
        mScanned = mLength;
        return events;
    }

    private SseEvent parse(int from, int to) {
        String id = "";
        byte[] data = null;
        int line = from;
        while (line < to) {
            int end = line;
            while (end < to && mBytes[end] != '\n') {
                end++;
            }
            if (starts(line, end, 'd', 'a', 't', 'a', ':')) {
                byte[] more = Arrays.copyOfRange(mBytes, value(line + 5, end), end);
                data = data == null ? more : joined(data, more);
            } else if (starts(line, end, 'i', 'd', ':')) {
                int value = value(line + 3, end);
                id = new String(mBytes, value, end - value, StandardCharsets.UTF_8);
            }
            line = end + 1;
        }
        return data == null ? null : new SseEvent(id, data);
    }

    private boolean starts(int line, int end, char... field) {
        if (end - line < field.length) {
            return false;
        }
        for (int i = 0; i < field.length; i++) {
            if (mBytes[line + i] != field[i]) {
                return false;
            }
        }
        return true;
    }

    private int value(int from, int end) {
        return from < end && mBytes[from] == ' ' ? from + 1 : from;
    }

    private static byte[] joined(byte[] a, byte[] b) {
        byte[] all = Arrays.copyOf(a, a.length + 1 + b.length);
        all[a.length] = '\n';
        System.arraycopy(b, 0, all, a.length + 1, b.length);
        return all;
    }

    /**
     * One event.
     *
     * @param id its id, empty for none
     * @param data its data, in UTF-8
     */
    public record SseEvent(String id, byte[] data) {}
}
