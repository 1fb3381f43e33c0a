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
package org.quilldyke.gateway.control;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;
import org.quilldyke.daemon.log.EventLog;
import org.quilldyke.engine.TargetReport;
import org.quilldyke.gateway.dialect.CacheEvents;
import org.quilldyke.gateway.engine.EngineClient;
import org.quilldyke.gateway.instance.NettyLoop;
import org.quilldyke.gateway.instance.RegionBytes;
import org.quilldyke.gateway.instance.TrafficCause;
import org.quilldyke.gateway.instance.proto.CacheNews;
import org.quilldyke.manifest.Manifest;
import org.quilldyke.manifest.Service;

/**
 * Polls the cache events of engines and KV stores, and publishes them to all instances in compact
 * form.
 *
 * <p>Only the leader polls: an engine can serve only a few readers, and one is enough. A holder
 * that does not respond is polled again and, if another one responds, reported as unreachable to
 * all instances, which avoid it unless they reach it themselves. Its cached blocks are discarded
 * only once it reports a restart.
 */
final class CacheEventWatcher {
    private static final long RETRY_DELAY_MILLIS = 400;

    private final EngineClient mEngineClient;
    private final NettyLoop mLoop;
    private final EventLog mLog;
    private final RegionBytes mRegionBytes;
    private final Consumer<CacheNews> mPublish;
    private final Map<String, CacheEventReader> mReaders = new HashMap<>();
    private final UnreachableHolders mUnreachable = new UnreachableHolders();
    private Map<String, Service> mServices = Map.of();
    private boolean mLeads;

    CacheEventWatcher(
            EngineClient engineClient,
            NettyLoop loop,
            EventLog log,
            RegionBytes regionBytes,
            Consumer<CacheNews> publish) {
        mEngineClient = engineClient;
        mLoop = loop;
        mLog = log;
        mRegionBytes = regionBytes;
        mPublish = publish;
    }

    /** Sets the services, which determine the engines and KV stores to poll. */
    void onManifest(Manifest manifest) {
        Map<String, Service> services = new HashMap<>();
        manifest.services().forEach(service -> services.put(service.name(), service));
        mServices = services;
    }

    /** Starts to poll new holders, and stops polling those that no longer exist. */
    void tick(boolean leads, List<TargetReport> targets) {
        mLeads = leads;
        if (!leads) {
            mReaders.clear();
            mUnreachable.clear();
            return;
        }
        Set<String> watched = new HashSet<>();
        for (TargetReport target : targets) {
            Service service = mServices.get(target.service());
            if (service != null && service.engineSpec().isPresent()) {
                watched.add(target.key());
                watch(target.key(), target.address(), target.failureDomain());
            }
        }
        for (Service service : mServices.values()) {
            service.kvStore()
                    .ifPresent(
                            store -> {
                                watched.add(store.address());
                                watch(store.address(), store.address(), store.failureDomain());
                            });
        }
        mReaders.keySet().retainAll(watched);
    }

    /** Returns the holders that do not respond at present. */
    Set<String> unresponsive() {
        Set<String> unresponsive = new HashSet<>();
        mReaders.values().stream()
                .filter(reader -> !reader.isUp())
                .forEach(reader -> unresponsive.add(reader.holder()));
        return unresponsive;
    }

    private void watch(String holder, String address, String failureDomain) {
        if (!mReaders.containsKey(holder)) {
            CacheEventReader reader = new CacheEventReader(holder, address, failureDomain, mLog);
            mReaders.put(holder, reader);
            poll(reader);
        }
    }

    private void poll(CacheEventReader reader) {
        if (!mLeads || mReaders.get(reader.holder()) != reader) {
            return;
        }
        mEngineClient.pollCacheEvents(
                reader.address(),
                reader.nextEvent(),
                bytes -> mRegionBytes.add(reader.failureDomain(), TrafficCause.CACHES, bytes),
                events -> mLoop.execute(() -> onPollResult(reader, events)));
    }

    private void onPollResult(CacheEventReader reader, Optional<CacheEvents> events) {
        if (!mLeads || mReaders.get(reader.holder()) != reader) {
            return;
        }
        Optional<CacheNews> update = reader.onPollResult(events);
        if (events.isEmpty()) {
            update.ifPresent(mUnreachable::onUnreachable);
        } else {
            update.ifPresent(mPublish);
        }
        if (reader.lastPollSucceeded()) {
            mUnreachable.onResponse(reader.holder()).forEach(mPublish);
            poll(reader);
        } else {
            mLoop.schedule(RETRY_DELAY_MILLIS, () -> poll(reader));
        }
    }
}
