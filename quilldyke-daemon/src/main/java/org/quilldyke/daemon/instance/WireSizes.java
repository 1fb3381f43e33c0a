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
package org.quilldyke.daemon.instance;

import com.google.protobuf.InvalidProtocolBufferException;
import java.util.ArrayList;
import java.util.List;
import org.quilldyke.daemon.instance.proto.CachedBlocks;
import org.quilldyke.daemon.instance.proto.ExchangeReply;
import org.quilldyke.daemon.instance.proto.ExchangeRequest;
import org.quilldyke.daemon.instance.proto.InstanceState;
import org.quilldyke.daemon.instance.proto.Renewal;

/** What messages between instances cost on the wire, for the capacity page. */
public final class WireSizes {
    /** HTTP/2 and gRPC framing of one call, both ways, with its headers compressed. */
    public static final int CALL_BYTES = 120;

    private static final long INCARNATION = 1_796_221_000_000L;

    private WireSizes() {}

    /** Returns the bytes of a message with {@code count} renewals. */
    public static double renewals(int count) {
        ExchangeRequest.Builder request = ExchangeRequest.newBuilder().setSender(state());
        for (int i = 0; i < count; i++) {
            request.addRenewals(
                    Renewal.newBuilder()
                            .setId("lm-examiner-" + i)
                            .setIncarnation(INCARNATION)
                            .setSequence(100_000L + i)
                            .setLeaseRemainingMs(3500));
        }
        return request.build().getSerializedSize();
    }

    /** Returns the bytes of one heartbeat to each of {@code others}, and of the replies. */
    public static double heartbeats(int others) {
        int request =
                ExchangeRequest.newBuilder()
                        .setCell("c")
                        .setSender(state())
                        .build()
                        .getSerializedSize();
        int reply = ExchangeReply.newBuilder().setSender(state()).build().getSerializedSize();
        return (double) others * (request + reply + CALL_BYTES);
    }

    /** Returns the nanoseconds to encode and decode a snapshot of one engine's blocks. */
    public static double snapshotNanos(long[] keys) {
        long startedAt = System.nanoTime();
        List<Long> boxed = new ArrayList<>(keys.length);
        for (long key : keys) {
            boxed.add(key);
        }
        byte[] bytes = CachedBlocks.newBuilder().addAllKeys(boxed).build().toByteArray();
        try {
            CachedBlocks read = CachedBlocks.parseFrom(bytes);
            if (read.getKeysCount() != keys.length) {
                throw new IllegalStateException("lost keys");
            }
        } catch (InvalidProtocolBufferException e) {
            throw new IllegalStateException(e);
        }
        return System.nanoTime() - startedAt;
    }

    private static InstanceState state() {
        return InstanceState.newBuilder()
                .setId("entry-123")
                .setFailureDomain("courthouse-annex")
                .setIncarnation(INCARNATION)
                .setConfigurationVersion(28_000)
                .setLeaderAgeMs(120)
                .setLeader("entry-1")
                .build();
    }
}
