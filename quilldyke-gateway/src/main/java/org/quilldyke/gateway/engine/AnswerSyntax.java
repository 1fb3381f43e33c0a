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
package org.quilldyke.gateway.engine;

import io.netty.buffer.ByteBuf;

/**
 * Checks the bytes of one answer against the grammar of HTTP/1.1 (RFC 9112): its head, and its
 * chunks and trailers if it has any. The HTTP decoder accepts more than that.
 *
 * <p>Field lines that begin with a blank (obsolete folding) are invalid, too: they may hide the
 * field that they hold.
 */
final class AnswerSyntax {
    private static final String VERSION = "HTTP/1.";
    private static final int MINOR_VERSION_AT = VERSION.length();
    private static final int STATUS_AT = MINOR_VERSION_AT + 2;
    private static final int STATUS_DIGITS = 3;
    private static final int REASON_AT = STATUS_AT + STATUS_DIGITS + 1;
    private static final String SEPARATORS = "\"(),/:;<=>?@[\\]{}";

    /** Larger chunks don't fit the decoder's numbers. */
    private static final int MAX_SIZE_DIGITS = 15;

    private Part mPart = Part.STATUS_LINE;

    /** Position of the next byte in its line. */
    private int mColumn;

    private byte mPrevious;

    /** Whether the field's name or the chunk's size has ended in this line. */
    private boolean mFirstWordEnded;

    /** The size of the chunk, or what is left of it. */
    private long mChunkBytes;

    private AnswerSyntax() {}

    /** Returns a check of one answer. */
    static AnswerSyntax create() {
        return new AnswerSyntax();
    }

    /** Records that the body that follows the head is in chunks; other bodies aren't checked. */
    void onChunkedBody() {
        startPart(Part.CHUNK_SIZE);
    }

    /** Checks the next bytes; returns whether they are valid. */
    boolean check(ByteBuf bytes) {
        int at = bytes.readerIndex();
        int end = bytes.writerIndex();
        while (at < end && mPart != Part.BODY) {
            if (mPart == Part.CHUNK_DATA) {
                long skipped = Math.min(mChunkBytes, end - at);
                at += (int) skipped;
                mChunkBytes -= skipped;
                if (mChunkBytes == 0) {
                    startPart(Part.CHUNK_END);
                }
            } else if (!accepts(bytes.getByte(at++))) {
                return false;
            }
        }
        return true;
    }

    /** Returns the name of the part that has an invalid byte. */
    String invalidPart() {
        return mPart.mLabel;
    }

    private boolean accepts(byte next) {
        boolean isValid;
        if (mPrevious == '\r') {
            isValid = next == '\n';
        } else if (next == '\r') {
            isValid = mPart.mayEndAt(this);
        } else {
            isValid = mPart.accepts(this, next);
        }
        if (!isValid) {
            return false;
        }
        mPrevious = next;
        mColumn++;
        if (next == '\n') {
            startPart(mPart.following(this));
        }
        return true;
    }

    private void startPart(Part part) {
        mPart = part;
        mColumn = 0;
        mPrevious = 0;
        mFirstWordEnded = false;
    }

    private boolean isStatusLineByte(byte next) {
        if (mColumn < MINOR_VERSION_AT) {
            return next == VERSION.charAt(mColumn);
        }
        if (mColumn == STATUS_AT - 1 || mColumn == REASON_AT - 1) {
            return next == ' ';
        }
        if (mColumn >= REASON_AT) {
            return isText(next);
        }
        return mColumn == STATUS_AT ? next >= '1' && next <= '5' : isDigit(next);
    }

    private boolean isFieldByte(byte next) {
        if (mFirstWordEnded) {
            return isText(next);
        }
        mFirstWordEnded = next == ':';
        return mFirstWordEnded ? mColumn > 0 : isNameByte(next);
    }

    /** The extensions of a chunk follow its size after a semicolon. */
    private boolean isSizeByte(byte next) {
        if (mFirstWordEnded) {
            return isText(next);
        }
        int digit = mPrevious == ' ' || mPrevious == '\t' ? -1 : Character.digit(next, 16);
        if (digit >= 0) {
            mChunkBytes = (mColumn == 0 ? 0 : mChunkBytes << 4) + digit;
            return mColumn < MAX_SIZE_DIGITS;
        }
        mFirstWordEnded = next == ';';
        return mColumn > 0 && (mFirstWordEnded || next == ' ' || next == '\t');
    }

    private boolean isSizeComplete() {
        return mFirstWordEnded || mColumn > 0 && mPrevious != ' ' && mPrevious != '\t';
    }

    private Part afterSize() {
        // Trailers follow the last chunk, which has no size.
        return mChunkBytes == 0 ? Part.FIELD_LINE : Part.CHUNK_DATA;
    }

    private static boolean isDigit(byte next) {
        return next >= '0' && next <= '9';
    }

    private static boolean isNameByte(byte next) {
        return next > ' ' && next < 0x7f && SEPARATORS.indexOf(next) < 0;
    }

    /** Bytes over 0x7f are allowed in text; they are negative here. */
    private static boolean isText(byte next) {
        return next < 0 || next >= ' ' && next != 0x7f || next == '\t';
    }

    /** A line of an answer, or another part of it. */
    private enum Part {
        STATUS_LINE("status line") {
            @Override
            boolean accepts(AnswerSyntax syntax, byte next) {
                return syntax.isStatusLineByte(next);
            }

            @Override
            boolean mayEndAt(AnswerSyntax syntax) {
                return syntax.mColumn >= REASON_AT - 1;
            }

            @Override
            Part following(AnswerSyntax syntax) {
                return FIELD_LINE;
            }
        },
        FIELD_LINE("field line") {
            @Override
            boolean accepts(AnswerSyntax syntax, byte next) {
                return syntax.isFieldByte(next);
            }

            @Override
            boolean mayEndAt(AnswerSyntax syntax) {
                return syntax.mColumn == 0 || syntax.mFirstWordEnded;
            }

            @Override
            Part following(AnswerSyntax syntax) {
                return syntax.mFirstWordEnded ? FIELD_LINE : BODY;
            }
        },
        CHUNK_SIZE("chunk size") {
            @Override
            boolean accepts(AnswerSyntax syntax, byte next) {
                return syntax.isSizeByte(next);
            }

            @Override
            boolean mayEndAt(AnswerSyntax syntax) {
                return syntax.isSizeComplete();
            }

            @Override
            Part following(AnswerSyntax syntax) {
                return syntax.afterSize();
            }
        },
        /** Its bytes are counted, not checked. */
        CHUNK_DATA("chunk"),
        /** The line end after a chunk. */
        CHUNK_END("end of a chunk") {
            @Override
            boolean mayEndAt(AnswerSyntax syntax) {
                return true;
            }

            @Override
            Part following(AnswerSyntax syntax) {
                return CHUNK_SIZE;
            }
        },
        /** A body that isn't in chunks, or the end of the answer. */
        BODY("body");

        private final String mLabel;

        Part(String label) {
            mLabel = label;
        }

        /** Returns whether a byte other than a line end may follow in the line. */
        boolean accepts(AnswerSyntax syntax, byte next) {
            return false;
        }

        /** Returns whether the line may end before the next byte. */
        boolean mayEndAt(AnswerSyntax syntax) {
            return false;
        }

        /** Returns the part after the line. */
        Part following(AnswerSyntax syntax) {
            return this;
        }
    }
}
