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
package org.quilldyke.gateway.caller;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufAllocator;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

/**
 * Splits a stream of bytes into complete server-sent events, whose bytes are kept unchanged.
 *
 * <p>An event ends with an empty line. Its number is the value of its {@code id} field.
 */
final class EventSplitter {
    /** The number of an event that has none, or one that no stream reaches. */
    static final long NO_NUMBER = -1;

    private static final String ID_FIELD = "id:";

    /** Any number of so many digits fits into a long. */
    private static final int MAX_DIGITS = 18;

    private final ByteBuf mBuffer;
    private int mLineStart;

    EventSplitter(ByteBufAllocator allocator) {
        mBuffer = allocator.buffer();
    }

    /** Adds bytes and returns the events that are complete now; the calling code releases them. */
    List<Event> add(ByteBuf bytes) {
        mBuffer.writeBytes(bytes);
        List<Event> events = new ArrayList<>();
        int newlineAt;
        while ((newlineAt = mBuffer.indexOf(mLineStart, mBuffer.writerIndex(), (byte) '\n')) >= 0) {
            boolean empty = newlineAt == mLineStart || isCarriageReturn(mLineStart, newlineAt);
            mLineStart = newlineAt + 1;
            if (empty) {
                int length = mLineStart - mBuffer.readerIndex();
                events.add(eventOf(mBuffer.readBytes(length)));
            }
        }
        mLineStart -= mBuffer.readerIndex();
        mBuffer.discardReadBytes();
        return events;
    }

    /** Returns the number of buffered bytes of an incomplete event. */
    int incompleteBytes() {
        return mBuffer.readableBytes();
    }

    /** Discards the buffered part of an incomplete event. */
    void clear() {
        mBuffer.clear();
        mLineStart = 0;
    }

    void release() {
        mBuffer.release();
    }

    private boolean isCarriageReturn(int lineStart, int end) {
        return end == lineStart + 1 && mBuffer.getByte(lineStart) == '\r';
    }

    private static Event eventOf(ByteBuf bytes) {
        long number = NO_NUMBER;
        int end = bytes.writerIndex();
        for (int start = bytes.readerIndex(); start < end; ) {
            int lineEnd = bytes.indexOf(start, end, (byte) '\n');
            if (hasIdField(bytes, start, lineEnd)) {
                int valueAt = start + ID_FIELD.length();
                number =
                        parseNumber(
                                bytes.toString(valueAt, lineEnd - valueAt, StandardCharsets.UTF_8)
                                        .trim());
            }
            start = lineEnd + 1;
        }
        return new Event(bytes, number);
    }

    private static boolean hasIdField(ByteBuf bytes, int start, int end) {
        return end - start >= ID_FIELD.length()
                && bytes.getByte(start) == 'i'
                && bytes.getByte(start + 1) == 'd'
                && bytes.getByte(start + 2) == ':';
    }

    private static long parseNumber(String text) {
        if (text.isEmpty() || text.length() > MAX_DIGITS) {
            return NO_NUMBER;
        }
        for (int i = 0; i < text.length(); i++) {
            if (text.charAt(i) < '0' || text.charAt(i) > '9') {
                return NO_NUMBER;
            }
        }
        return Long.parseLong(text);
    }

    /**
     * A complete event.
     *
     * @param bytes its bytes, including the empty line that ends it
     * @param number its number, {@link #NO_NUMBER} if it has none
     */
    record Event(ByteBuf bytes, long number) {}
}
