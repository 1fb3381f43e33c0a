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
package org.quilldyke.tools.bench;

import it.unimi.dsi.fastutil.longs.LongList;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.SplittableRandom;
import java.util.function.IntToDoubleFunction;
import org.quilldyke.QuilldykeException;
import org.quilldyke.control.Command;
import org.quilldyke.control.Configuration;
import org.quilldyke.control.ControlState;
import org.quilldyke.control.LogEntry;
import org.quilldyke.daemon.caller.CallerHeaders;
import org.quilldyke.daemon.control.DataFolder;
import org.quilldyke.daemon.engine.Chunk;
import org.quilldyke.daemon.engine.EngineWatch;
import org.quilldyke.daemon.instance.WireSizes;
import org.quilldyke.daemon.json.Json;
import org.quilldyke.daemon.log.Event;
import org.quilldyke.daemon.log.EventLog;
import org.quilldyke.engine.BlockChain;
import org.quilldyke.engine.CacheEvent;
import org.quilldyke.engine.TargetRecord;
import org.quilldyke.routing.Candidate;
import org.quilldyke.routing.CostProfile;
import org.quilldyke.routing.LoadTable;
import org.quilldyke.routing.PrefixIndex;
import org.quilldyke.routing.Router;

/** Measures what the real code costs at several sizes, as counted loops after a warm-up. */
public final class SlopesBench {
    private static final int REPEATS = 5;
    private static final int ENGINES = 48;
    private static final int PROMPT_BLOCKS = 32;

    private final SplittableRandom mRandom = new SplittableRandom(1);
    private final Path mFolder;
    private long mSink;

    private SlopesBench(Path folder) {
        mFolder = folder;
    }

    /** Returns a bench that keeps its files in {@code folder}. */
    public static SlopesBench in(Path folder) {
        return new SlopesBench(folder);
    }

    /** Measures all slopes. */
    public List<Slope> run() {
        List<Slope> slopes = new ArrayList<>();
        routingSlopes(slopes);
        exchangeSlopes(slopes);
        controlSlopes(slopes);
        return slopes;
    }

    private void routingSlopes(List<Slope> slopes) {
        slopes.add(
                measure(
                        "index-memory",
                        "bytes by block copies",
                        this::indexBytes,
                        250_000,
                        500_000,
                        1_000_000));
        slopes.add(
                measure(
                        "cache-events",
                        "ns by events of one block",
                        this::eventNanos,
                        100_000,
                        200_000,
                        400_000));
        slopes.add(
                measure(
                        "cache-event-parsing",
                        "ns by events read from an engine's stream",
                        this::parseNanos,
                        10_000,
                        50_000,
                        200_000));
        slopes.add(
                measure(
                        "decision-by-engines",
                        "ns by engines, 32 blocks",
                        n -> decisionNanos(n, PROMPT_BLOCKS),
                        6,
                        12,
                        24,
                        48));
        slopes.add(
                measure(
                        "decision-by-blocks",
                        "ns by blocks, 48 engines",
                        n -> decisionNanos(ENGINES, n),
                        8,
                        16,
                        32));
        slopes.add(measure("block-keys", "ns by prompt blocks", this::chainNanos, 8, 16, 32));
        slopes.add(
                measure(
                        "relayed-tokens",
                        "ns by tokens parsed",
                        this::tokenNanos,
                        1000,
                        10_000,
                        50_000));
    }

    private void exchangeSlopes(List<Slope> slopes) {
        slopes.add(
                measure(
                        "renewals",
                        "bytes by renewals in one message",
                        WireSizes::renewals,
                        6,
                        24,
                        48));
        slopes.add(
                measure(
                        "heartbeats",
                        "bytes by other instances, empty messages both ways",
                        WireSizes::heartbeats,
                        7,
                        100,
                        779));
        slopes.add(
                measure(
                        "configuration-bytes",
                        "bytes by organisations",
                        n -> Json.encode(configuration(n)).length,
                        250,
                        1000,
                        2300));
        slopes.add(
                measure(
                        "configuration-delta",
                        "bytes by changes in one message",
                        n -> Json.encode(configuration(2300).since(2300 - n)).length,
                        1,
                        10,
                        100));
        slopes.add(
                measure(
                        "configuration-change",
                        "ns by organisations, one change encoded, decoded and merged",
                        this::configurationNanos,
                        250,
                        1000,
                        2300));
        slopes.add(
                measure(
                        "peer-snapshot",
                        "ns by block copies, encode and decode",
                        n -> WireSizes.snapshotNanos(keys(n)),
                        100_000,
                        400_000,
                        1_000_000));
    }

    private void controlSlopes(List<Slope> slopes) {
        slopes.add(
                measure(
                        "claims",
                        "ns by claims applied",
                        this::claimNanos,
                        10_000,
                        50_000,
                        100_000));
        slopes.add(
                measure(
                        "snapshot",
                        "ns by claims in the snapshot",
                        this::snapshotNanos,
                        10_000,
                        50_000,
                        100_000));
        slopes.add(
                measure(
                        "log-sync",
                        "ns by entries in one synced append",
                        this::syncNanos,
                        1,
                        100,
                        1000));
        slopes.add(measure("log-lines", "ns by lines", this::lineNanos, 1000, 10_000, 40_000));
    }

    private static Slope measure(String name, String unit, IntToDoubleFunction cost, int... sizes) {
        double[] values = new double[sizes.length];
        for (int i = 0; i < sizes.length; i++) {
            double[] runs = new double[REPEATS];
            for (int j = 0; j < REPEATS; j++) {
                runs[j] = cost.applyAsDouble(sizes[i]);
            }
            Arrays.sort(runs);
            values[i] = runs[REPEATS / 2];
        }
        double[] at = Arrays.stream(sizes).asDoubleStream().toArray();
        return Slope.fit(name, unit, at, values);
    }

    private double indexBytes(int blocks) {
        long before = usedHeap();
        PrefixIndex index = PrefixIndex.create();
        for (int engine = 0; engine < ENGINES; engine++) {
            index.onIncarnation("e" + engine, 1);
            index.onResync("e" + engine, 1, 1, keys(blocks / ENGINES));
        }
        double bytes = usedHeap() - before;
        mSink += index.size();
        return bytes;
    }

    private double eventNanos(int events) {
        PrefixIndex index = PrefixIndex.create();
        index.onIncarnation("e", 1);
        CacheEvent[] all = new CacheEvent[events];
        for (int i = 0; i < events; i++) {
            boolean store = i % 2 == 0;
            all[i] =
                    new CacheEvent(
                            i + 1,
                            store ? CacheEvent.Kind.STORED : CacheEvent.Kind.REMOVED,
                            LongList.of(mRandom.nextInt(20_000)));
        }
        long startedAt = System.nanoTime();
        for (CacheEvent event : all) {
            index.onEvent("e", 1, event);
        }
        long nanos = System.nanoTime() - startedAt;
        mSink += index.size();
        return nanos;
    }

    private double parseNanos(int events) {
        byte[] event =
                "{\"sequence\":123456,\"kind\":\"STORED\",\"keys\":[\"9f3a5c7e12345678\"]}"
                        .getBytes(StandardCharsets.UTF_8);
        long startedAt = System.nanoTime();
        try {
            for (int i = 0; i < events; i++) {
                mSink += EngineWatch.parse(event).sequence();
            }
        } catch (QuilldykeException e) {
            throw new IllegalStateException(e);
        }
        return System.nanoTime() - startedAt;
    }

    private double decisionNanos(int engines, int blocks) {
        PrefixIndex index = PrefixIndex.create();
        LoadTable loads = LoadTable.create(100);
        Router router = Router.create(CostProfile.REUSE, index, loads);
        BlockChain chain = BlockChain.ofKeys(keys(blocks), blocks * BlockChain.BLOCK_UNITS + 500);
        List<Candidate> candidates = new ArrayList<>();
        for (int i = 0; i < engines; i++) {
            String id = "engine-" + i;
            index.onIncarnation(id, 1);
            index.onResync(id, 1, 1, keys(20_000));
            index.onDispatch(id, 1, chain);
            for (int j = 0; j < 8; j++) {
                loads.onDispatch(id, i * 8L + j, 1000, 0);
            }
            candidates.add(new Candidate(target(id), chain));
        }
        int rounds = 2000;
        long nanos = 0;
        for (int i = 0; i < 2 * rounds; i++) {
            long startedAt = System.nanoTime();
            try {
                mSink += router.decide(candidates, true).candidates();
            } catch (QuilldykeException e) {
                throw new IllegalStateException(e);
            }
            nanos += i < rounds ? 0 : System.nanoTime() - startedAt;
        }
        return (double) nanos / rounds;
    }

    private double chainNanos(int blocks) {
        byte[] prompt = new byte[blocks * BlockChain.BLOCK_UNITS];
        int rounds = 2000;
        long startedAt = System.nanoTime();
        for (int i = 0; i < rounds; i++) {
            mSink += BlockChain.of(i, prompt).key(blocks - 1);
        }
        return (double) (System.nanoTime() - startedAt) / rounds;
    }

    private double tokenNanos(int tokens) {
        byte[] data =
                ("{\"id\":\"entry-1-0-mx69ow1a-1\",\"object\":\"text_completion\",\"model\":\"lm\","
                                + "\"choices\":[{\"index\":0,\"text\":\"parcel \","
                                + "\"finish_reason\":null}]}")
                        .getBytes(StandardCharsets.UTF_8);
        long startedAt = System.nanoTime();
        try {
            for (int i = 0; i < tokens; i++) {
                mSink += Chunk.parse(i, data).text().length();
            }
        } catch (IOException e) {
            throw new IllegalStateException(e);
        }
        return System.nanoTime() - startedAt;
    }

    private double configurationNanos(int organisations) {
        Configuration configuration = configuration(organisations);
        int rounds = 20;
        long base = organisations - 1;
        Configuration older = configuration(organisations - 1);
        long startedAt = System.nanoTime();
        try {
            for (int i = 0; i < rounds; i++) {
                byte[] bytes = Json.encode(configuration.since(base));
                mSink += older.with(Json.decode(bytes, Configuration.Delta.class)).version();
            }
        } catch (QuilldykeException e) {
            throw new IllegalStateException(e);
        }
        return (double) (System.nanoTime() - startedAt) / rounds;
    }

    private double claimNanos(int claims) {
        ControlState state = ControlState.create();
        long startedAt = System.nanoTime();
        claim(state, claims);
        long nanos = System.nanoTime() - startedAt;
        mSink += state.claimCount();
        return nanos;
    }

    private double snapshotNanos(int claims) {
        ControlState state = ControlState.create();
        claim(state, claims);
        long startedAt = System.nanoTime();
        mSink += Json.encode(state.snapshot()).length;
        return System.nanoTime() - startedAt;
    }

    private static void claim(ControlState state, int claims) {
        try {
            for (int i = 0; i < claims; i++) {
                state.apply(
                        i + 1,
                        new Command.ClaimRun(
                                "org", "key-" + i, "f", "r" + i, 60_000, 86_400_000, i));
            }
        } catch (QuilldykeException e) {
            throw new IllegalStateException(e);
        }
    }

    private double syncNanos(int entries) {
        List<LogEntry> batch = new ArrayList<>();
        for (int i = 0; i < entries; i++) {
            batch.add(new LogEntry(1, new byte[250]));
        }
        Path path = mFolder.resolve("sync-" + mRandom.nextLong());
        try (DataFolder folder = DataFolder.open(path)) {
            folder.load();
            int rounds = 10;
            long startedAt = System.nanoTime();
            for (int i = 0; i < rounds; i++) {
                folder.append(1 + (long) i * entries, batch);
                folder.sync();
            }
            return (double) (System.nanoTime() - startedAt) / rounds;
        } catch (QuilldykeException e) {
            throw new IllegalStateException(e);
        }
    }

    private double lineNanos(int lines) {
        EventLog log = EventLog.of("entry-1");
        long startedAt = System.nanoTime();
        for (int i = 0; i < lines; i++) {
            log.write(
                    Event.ROUTED,
                    "request",
                    i,
                    "org",
                    "hall",
                    "target",
                    "e1",
                    "reason",
                    "CACHED",
                    "tokens",
                    41_200,
                    "cached",
                    36_000,
                    "queue_ms",
                    12,
                    "predicted_ms",
                    148);
        }
        return System.nanoTime() - startedAt;
    }

    private long[] keys(int count) {
        long[] keys = new long[count];
        for (int i = 0; i < count; i++) {
            keys[i] = mRandom.nextLong();
        }
        return keys;
    }

    private static Configuration configuration(int organisations) {
        Configuration configuration = Configuration.empty();
        for (int i = 0; i < organisations; i++) {
            String hash = CallerHeaders.sha256("token-" + i);
            configuration =
                    configuration.with(
                            new Configuration.Organisation(
                                    "organisation-" + i, List.of(hash), 64, 0));
        }
        return configuration;
    }

    private static TargetRecord target(String id) {
        return new TargetRecord(
                id,
                TargetRecord.Kind.ENGINE,
                "c",
                "lm",
                "127.0.0.1:1",
                "d",
                1,
                1,
                "lm",
                "w1",
                64,
                100,
                true,
                false);
    }

    private static long usedHeap() {
        for (int i = 0; i < 3; i++) {
            System.gc();
        }
        Runtime runtime = Runtime.getRuntime();
        return runtime.totalMemory() - runtime.freeMemory();
    }
}
