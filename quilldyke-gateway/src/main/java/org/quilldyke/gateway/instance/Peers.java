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
package org.quilldyke.gateway.instance;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import org.quilldyke.daemon.log.Event;
import org.quilldyke.daemon.log.EventLog;
import org.quilldyke.gateway.instance.proto.PeerFrame;
import org.quilldyke.gateway.settings.GatewaySettings;
import org.quilldyke.routing.Topology;

/** The streams from one control process to all others. Lives on the control thread. */
public final class Peers {
    /** A peer that nobody has named and that hasn't spoken for this long is gone for good. */
    static final long FORGET_MILLIS = 120_000;

    private final NettyLoop mLoop;
    private final LongSupplier mClock;
    private final EventLog mLog;
    private final String mSelf;
    private final RegionBytes mRegionBytes;
    private final Map<String, PeerLink> mLinks = new HashMap<>();
    private final Map<String, Long> mNamedAt = new HashMap<>();
    private Consumer<String> mOnUp = address -> {};

    private Peers(
            NettyLoop loop,
            LongSupplier clock,
            EventLog log,
            String self,
            RegionBytes regionBytes) {
        mLoop = loop;
        mClock = clock;
        mLog = log;
        mSelf = self;
        mRegionBytes = regionBytes;
    }

    /**
     * Returns streams to nobody yet.
     *
     * @param loop the control thread
     * @param clock monotonic milliseconds
     * @param log where gained and lost peers go
     * @param self this process's own address
     * @param regionBytes counts the bytes that are sent to other regions
     */
    public static Peers create(
            NettyLoop loop,
            LongSupplier clock,
            EventLog log,
            String self,
            RegionBytes regionBytes) {
        return new Peers(loop, clock, log, self, regionBytes);
    }

    /** Returns the streams of the control process with the given settings, none of them open. */
    public static Peers of(
            GatewaySettings settings, NettyLoop loop, LongSupplier clock, EventLog log) {
        Topology topology = Topology.of(settings.regions());
        RegionBytes regionBytes = RegionBytes.create(topology, settings.failureDomain());
        return create(loop, clock, log, settings.internalAddress(settings.ip()), regionBytes);
    }

    /** Sets what hears that a peer is in reach. */
    public void onUp(Consumer<String> listener) {
        mOnUp = listener;
    }

    /** Opens streams to addresses to which there are none yet; they are named by this. */
    public void connect(Collection<String> addresses) {
        for (String address : addresses) {
            mNamedAt.put(address, mClock.getAsLong());
            if (!address.equals(mSelf) && !mLinks.containsKey(address)) {
                PeerLink link =
                        new PeerLink(mLoop, mClock, mSelf, address, mRegionBytes, this::onLink);
                mLinks.put(address, link);
                link.open();
            }
        }
    }

    /** Returns the counters of bytes that are sent to other regions; callable on any thread. */
    public RegionBytes bytes() {
        return mRegionBytes;
    }

    /** Closes streams to addresses that weren't named for a while. */
    public void forgetUnnamed() {
        long now = mClock.getAsLong();
        mNamedAt.values().removeIf(namedAt -> now - namedAt > FORGET_MILLIS);
        retain(mNamedAt.keySet());
    }

    /** Closes all streams. */
    public void close() {
        retain(Set.of());
    }

    private void retain(Set<String> addresses) {
        mLinks.entrySet()
                .removeIf(
                        entry -> {
                            boolean gone = !addresses.contains(entry.getKey());
                            if (gone) {
                                entry.getValue().close();
                            }
                            return gone;
                        });
    }

    /** Sends a frame, best effort. */
    public void send(String address, PeerFrame.Builder frame) {
        PeerLink link = mLinks.get(address);
        if (link != null) {
            link.send(frame);
        }
    }

    /** Sends a frame to all peers in reach. */
    public void sendToAll(PeerFrame.Builder frame) {
        mLinks.values().stream().filter(PeerLink::isUp).forEach(link -> link.send(frame));
    }

    /** Returns the addresses of this process and of all peers in reach. */
    public List<String> known() {
        List<String> known = new ArrayList<>();
        known.add(mSelf);
        mLinks.values().stream().filter(PeerLink::isUp).forEach(link -> known.add(link.address()));
        return known;
    }

    private void onLink(String address, boolean up) {
        mLog.write(up ? Event.PEER_GAINED : Event.PEER_LOST, "peer", address);
        if (up) {
            mOnUp.accept(address);
        }
    }
}
