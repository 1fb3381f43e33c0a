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
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.DecoderResult;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseDecoder;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import java.util.List;

/**
 * Decodes the answers of one connection, and decides which are none, before anything is inferred
 * from their heads.
 *
 * <p>The decoder of the library repairs what it can: it finds a status in almost any line, a name
 * before the first blank of a field line, and the end of a body under a transfer coding that it
 * doesn't know. An answer that has to be repaired may not be what the target meant, so it is
 * reported as malformed, and the rest of its connection is discarded.
 *
 * <p>Closes the connection at data that arrives while no answer is awaited: the decoder would keep
 * the beginning of a head, and decode the answer to the next request as the rest of it.
 */
final class AnswerDecoder extends HttpResponseDecoder {
    private static final int MAX_HEADER_BYTES = 64 << 10;

    private final TargetConnection mConnection;
    private boolean mHasDataLeft;

    private AnswerSyntax mSyntax = AnswerSyntax.create();
    private boolean mMalformed;

    private AnswerDecoder(TargetConnection connection) {
        super(
                new HttpDecoderConfig()
                        .setMaxHeaderSize(MAX_HEADER_BYTES)
                        .setAllowDuplicateContentLengths(false)
                        .setStrictLineParsing(true)
                        .setUseRfc9112TransferEncoding(true));
        mConnection = connection;
    }

    /** Returns the decoder of a connection. */
    static AnswerDecoder of(TargetConnection connection) {
        return new AnswerDecoder(connection);
    }

    /** Returns whether data has arrived after what was decoded last. */
    boolean hasDataLeft() {
        return mHasDataLeft;
    }

    @Override
    public void channelRead(ChannelHandlerContext ctx, Object message) throws Exception {
        if (mConnection.isAwaitingAnswer()) {
            super.channelRead(ctx, message);
        } else {
            ReferenceCountUtil.release(message);
            mConnection.close();
        }
    }

    @Override
    protected void decode(ChannelHandlerContext ctx, ByteBuf data, List<Object> out)
            throws Exception {
        if (mMalformed) {
            data.skipBytes(data.readableBytes());
            return;
        }
        int start = data.readerIndex();
        super.decode(ctx, data, out);
        // A call ends at the end of a head, so that the framing is known before the body is read.
        if (mSyntax.check(data.slice(start, data.readerIndex() - start))) {
            out.forEach(this::onDecoded);
        } else {
            onMalformed(out);
        }
        mHasDataLeft = data.isReadable();
    }

    private void onDecoded(Object object) {
        if (object instanceof HttpResponse head) {
            checkTransferCoding(head);
            if (HttpUtil.isTransferEncodingChunked(head)) {
                mSyntax.onChunkedBody();
            }
        }
        if (object instanceof LastHttpContent) {
            mSyntax = AnswerSyntax.create();
        }
    }

    /** Replaces what was decoded from malformed bytes. */
    private void onMalformed(List<Object> out) {
        out.forEach(ReferenceCountUtil::release);
        out.clear();
        HttpMessage invalid = createInvalidMessage();
        invalid.setDecoderResult(failure("invalid " + mSyntax.invalidPart()));
        out.add(invalid);
        mMalformed = true;
    }

    /** No request asks for a coding other than chunks, and the decoder knows no other. */
    private static void checkTransferCoding(HttpResponse head) {
        List<String> codings = head.headers().getAll(HttpHeaderNames.TRANSFER_ENCODING);
        boolean isKnown =
                codings.isEmpty()
                        || codings.size() == 1
                                && HttpHeaderValues.CHUNKED.contentEqualsIgnoreCase(codings.get(0));
        if (!isKnown && head.decoderResult().isSuccess()) {
            head.setDecoderResult(failure("transfer coding " + codings));
        }
    }

    private static DecoderResult failure(String detail) {
        return DecoderResult.failure(new IllegalArgumentException(detail));
    }

    @Override
    protected boolean isContentAlwaysEmpty(HttpMessage head) {
        return mConnection.isAnswerWithoutBody() || super.isContentAlwaysEmpty(head);
    }

    /** No request asks for another protocol; what follows would be passed on undecoded. */
    @Override
    protected boolean isSwitchingToNonHttp1Protocol(HttpResponse head) {
        return false;
    }
}
