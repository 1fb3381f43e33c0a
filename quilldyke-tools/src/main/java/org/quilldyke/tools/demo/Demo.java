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
package org.quilldyke.tools.demo;

import io.activej.http.HttpMethod;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.BooleanSupplier;
import org.quilldyke.Invariant;
import org.quilldyke.QuilldykeException;
import org.quilldyke.control.Intent;
import org.quilldyke.daemon.QuilldykeInstance;
import org.quilldyke.daemon.caller.CallerHeaders;
import org.quilldyke.daemon.json.Json;
import org.quilldyke.daemon.log.Event;
import org.quilldyke.engine.CacheScope;
import org.quilldyke.testkit.engine.EngineStandIn;
import org.quilldyke.testkit.engine.WordModel;
import org.quilldyke.testkit.service.ServiceStandIn;
import org.quilldyke.tools.client.ApiClient;
import org.quilldyke.tools.client.OperatorClient;
import org.quilldyke.tools.client.ReceivedStream;

/**
 * Runs the main job of a site with faults and checks what was promised.
 *
 * <p>Each answer is compared with what the stand-in's model must say to the prompt, so a lost,
 * doubled or crossed chunk shows as a wrong text.
 */
public final class Demo implements AutoCloseable {
    private static final int CALLERS = 12;
    private static final int TOKENS = 60;
    private static final String OPERATOR = "examiner-on-call";
    private static final String[] ORGANISATIONS = {
        "title-examiners", "surveyors", "abstract-company"
    };

    private final DemoSite mSite;
    private final SampleRecords mRecords;
    private final PrintStream mProgress;
    private final int mRequests;
    private final SplittableRandom mRandom;
    private final ApiClient mClient = ApiClient.open();
    private final DemoReport mReport = new DemoReport();
    private final DemoCaller mCaller;
    private int mPlanNumber;

    private Demo(
            DemoSite site, SampleRecords records, PrintStream progress, int requests, long seed) {
        mSite = site;
        mRecords = records;
        mProgress = progress;
        mRequests = requests;
        mRandom = new SplittableRandom(seed);
        mCaller = new DemoCaller(mClient, this::readyAddresses);
    }

    /**
     * Returns a demo that isn't started.
     *
     * @param site where to run it
     * @param records the sample texts
     * @param progress where each step is told
     * @param requests how many prompts to send
     * @param seed draws organisations, records and questions
     */
    public static Demo of(
            DemoSite site, SampleRecords records, PrintStream progress, int requests, long seed) {
        return new Demo(site, records, progress, requests, seed);
    }

    /**
     * Runs all steps.
     *
     * @return what was counted and checked
     * @throws QuilldykeException if an instance can't be started or reached
     * @throws IOException if a stand-in can't be started
     * @throws InterruptedException if the thread is interrupted
     */
    public DemoReport run() throws QuilldykeException, IOException, InterruptedException {
        startSite();
        sendWithFaults();
        crossAnswers();
        holdOnce();
        drainTarget();
        rollOut();
        leaveTarget();
        shutDownGracefully();
        collect();
        return mReport;
    }

    @Override
    public void close() {
        mClient.close();
    }

    /** Returns curl lines to try while the site is up. */
    public List<String> curlLines() {
        String at = readyAddresses().get(0);
        List<String> lines = new ArrayList<>();
        lines.add(
                "curl -N http://"
                        + at
                        + "/v1/completions -H 'Authorization: Bearer "
                        + tokenOf(0)
                        + "' -d '{\"model\":\""
                        + DemoSite.MODEL
                        + "\",\"prompt\":\"Who owns lot 4?\",\"max_tokens\":40,\"stream\":true}'");
        lines.add(
                "curl http://"
                        + at
                        + "/operator/status -H 'Authorization: Bearer "
                        + DemoSite.OPERATOR_TOKEN
                        + "'");
        lines.add("curl http://" + mSite.instances().get(0).self().platform() + "/metrics");
        return lines;
    }

    private void startSite() throws QuilldykeException, IOException, InterruptedException {
        say(
                "start %d instances, 3 of them with the control state",
                mSite.site().instances().size());
        mSite.startInstances();
        await("a control leader", () -> mSite.leader() != null);
        for (int i = 0; i < ORGANISATIONS.length; i++) {
            Intent intent =
                    new Intent.PutOrganisation(
                            ORGANISATIONS[i],
                            List.of(CallerHeaders.sha256(tokenOf(i))),
                            i == 0 ? 0 : 64);
            planAndConfirm(intent, i == 0);
        }
        planAndConfirm(new Intent.PutModel(DemoSite.MODEL, DemoSite.MODEL, "w1"), false);
        say("start 4 engines and 2 plain services; they announce themselves");
        mSite.startWeightStore();
        mSite.startEngines(4, "w1");
        mSite.startServices(2);
        await("all instances ready", () -> readyAddresses().size() == mSite.instances().size());
        await("all targets known everywhere", this::allTargetsKnown);
        await(
                "all replicas trusted",
                () -> mSite.instances().stream().allMatch(QuilldykeInstance::isTrusted));
    }

    private void sendWithFaults() throws QuilldykeException, InterruptedException, IOException {
        say("send %d prompts from %d organisations, streamed", mRequests, ORGANISATIONS.length);
        ExecutorService callers = Executors.newFixedThreadPool(CALLERS);
        AtomicInteger done = new AtomicInteger();
        List<CompletableFuture<Void>> all = new ArrayList<>();
        for (int i = 0; i < mRequests; i++) {
            String prompt = mRecords.prompt(mRandom);
            String token = tokenOf(mRandom.nextInt(ORGANISATIONS.length));
            all.add(
                    CompletableFuture.runAsync(
                            () -> {
                                ask(token, prompt);
                                done.incrementAndGet();
                            },
                            callers));
        }
        await("a quarter of the answers", () -> done.get() >= mRequests / 4);
        killEngineInMidStream();
        await("half of the answers", () -> done.get() >= mRequests / 2);
        killLeader();
        await("three quarters of the answers", () -> done.get() >= mRequests * 3 / 4);
        CompletableFuture.allOf(all.toArray(new CompletableFuture<?>[0])).join();
        callers.shutdown();
        mReport.mReconnects = mCaller.reconnects();
    }

    private void crossAnswers() {
        String prompt = mRecords.prompt(mRandom);
        ask(tokenOf(0), prompt);
        EngineStandIn engine = mSite.engines().get(0);
        for (EngineStandIn other : mSite.engines()) {
            engine = other.lastAcceptedAt() > engine.lastAcceptedAt() ? other : engine;
        }
        say("engine %s writes another request's id into its answers for a while", engine.id());
        engine.crossIds(true);
        for (int i = 0; i < 10 && dropped() == 0; i++) {
            ask(tokenOf(0), prompt);
        }
        engine.crossIds(false);
        mReport.check("crossed chunks were dropped", dropped() > 0, dropped() + " dropped");
    }

    private long dropped() {
        long dropped = 0;
        for (QuilldykeInstance instance : mSite.instances()) {
            dropped += instance.metrics().dropped().getCount();
        }
        return dropped;
    }

    private void killEngineInMidStream() throws IOException, InterruptedException {
        EngineStandIn busy = mSite.engines().get(0);
        int index = 0;
        for (int i = 1; i < mSite.engines().size(); i++) {
            if (mSite.engines().get(i).open() > busy.open()) {
                busy = mSite.engines().get(i);
                index = i;
            }
        }
        say("kill engine %s with %d requests in mid-stream", busy.id(), busy.open());
        mSite.killEngine(index);
        Thread.sleep(500);
        say("start engine %s again, with an empty cache", busy.id());
        mSite.restartEngine(index);
    }

    private void killLeader() throws QuilldykeException, InterruptedException {
        QuilldykeInstance leader = mSite.leader();
        if (leader == null) {
            await("a control leader", () -> mSite.leader() != null);
            leader = mSite.leader();
        }
        long version = leader.configurationVersion();
        say("kill control leader %s, which serves callers too", leader.self().id());
        long killedAt = System.nanoTime();
        int index = mSite.haltInstance(leader);
        planAndConfirm(
                new Intent.PutOrganisation(
                        "appraisal-staff", List.of(CallerHeaders.sha256("demo-late")), 0),
                false);
        double millis = (System.nanoTime() - killedAt) / 1e6;
        say("a new intent was planned and confirmed %.0f ms after the kill", millis);
        mReport.mFailoverMillis = millis;
        say("start %s again from its data folder", leader.self().id());
        mSite.restartInstance(index);
        await(
                "all instances ready again",
                () -> readyAddresses().size() == mSite.instances().size());
        mReport.check(
                "an accepted configuration is in force at every ready instance",
                allHaveVersion(version + 1),
                "version " + (version + 1));
    }

    private void ask(String token, String prompt) {
        byte[] bytes = prompt.getBytes(StandardCharsets.UTF_8);
        try {
            ReceivedStream stream = mCaller.complete(token, prompt, TOKENS, new ReceivedStream());
            mReport.onAnswer(stream, WordModel.answer(bytes, TOKENS), bytes.length);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void holdOnce() throws InterruptedException {
        say("send 20 calls that must not be repeated, each three times, in part at once");
        List<CompletableFuture<ApiClient.Answer>> calls = new ArrayList<>();
        for (int i = 0; i < 60; i++) {
            calls.add(mCaller.hold(tokenOf(0), "hold-" + i / 3, "amount=" + i / 3));
        }
        calls.forEach(CompletableFuture::join);
        int answered = 0;
        for (int i = 0; i < 60; i++) {
            ApiClient.Answer answer = calls.get(i).join();
            if (answer.status() == 409) {
                // Another send of the same call was under way; now its answer is stored.
                answer = mCaller.hold(tokenOf(0), "hold-" + i / 3, "amount=" + i / 3).join();
            }
            answered += answer.status() == 200 ? 1 : 0;
        }
        Map<String, Integer> runs = new HashMap<>();
        for (ServiceStandIn service : mSite.services()) {
            service.runs().forEach((key, n) -> runs.merge(key, n, Integer::sum));
        }
        int doubled = 0;
        for (int i = 0; i < 20; i++) {
            doubled += runs.getOrDefault("hold-" + i, 0) > 1 ? 1 : 0;
        }
        mReport.mDoubled = doubled;
        mReport.check(
                "calls that must not be repeated ran once",
                doubled == 0 && runs.size() == 20 && answered == 60,
                runs.size() + " ran, " + answered + " of 60 sends got the answer");
    }

    private void drainTarget() throws QuilldykeException, InterruptedException {
        String target = mSite.engines().get(1).id();
        say("retire target %s", target);
        long version = mSite.instances().get(0).configurationVersion() + 1;
        planAndConfirm(new Intent.SetRetired(target, true), true);
        long confirmedAt = System.nanoTime();
        await("the change everywhere", () -> allHaveVersion(version));
        mReport.mEverywhereMillis = (System.nanoTime() - confirmedAt) / 1e6;
        Thread.sleep(2000);
        int before = mSite.engines().get(1).runs().size();
        for (int i = 0; i < 20; i++) {
            ask(tokenOf(i % ORGANISATIONS.length), mRecords.prompt(mRandom));
        }
        int after = mSite.engines().get(1).runs().size();
        mReport.check(
                "a retired target gets no new work", before == after, before + " then " + after);
        planAndConfirm(new Intent.SetRetired(target, false), false);
    }

    private void rollOut() throws QuilldykeException, InterruptedException, IOException {
        say("roll out weights w2 while prompts go on");
        String number =
                planAndConfirm(new Intent.PutModel(DemoSite.MODEL, DemoSite.MODEL, "w2"), true);
        boolean done = false;
        for (int i = 0; i < 300 && !done; i++) {
            ask(tokenOf(i % ORGANISATIONS.length), mRecords.prompt(mRandom));

            done =
                    "DONE"
                            .equals(
                                    operator()
                                            .plan(number)
                                            .body()
                                            .path("plan")
                                            .path("state")
                                            .asText());
        }
        boolean loaded = mSite.engines().stream().allMatch(e -> e.weights().equals("w2"));
        mReport.check("the roll-out ended with all engines on w2", done && loaded, "");
        int most = mSite.mostLoadsAtOnce();
        mReport.check("two engines at most load at once", most >= 1 && most <= 2, "" + most);
    }

    private void leaveTarget() throws InterruptedException {
        EngineStandIn leaving = mSite.engines().get(3);
        say("engine %s announces that it is leaving", leaving.id());
        long startedAt = System.nanoTime();
        leaving.leave();
        int left = mSite.engines().size() - 1;
        await(
                "the leaving mark everywhere",
                () ->
                        mSite.instances().stream()
                                .allMatch(i -> i.usableEngines(DemoSite.MODEL) == left));
        mReport.mLeavingMillis = (System.nanoTime() - startedAt) / 1e6;
        int before = leaving.runs().size();
        for (int i = 0; i < 12; i++) {
            ask(tokenOf(i % ORGANISATIONS.length), mRecords.prompt(mRandom));
        }
        mReport.check("a leaving target gets no new work", leaving.runs().size() == before, "");
    }

    private void shutDownGracefully() throws InterruptedException {
        QuilldykeInstance leaving = mSite.instances().get(mSite.instances().size() - 1);
        say("shut down instance %s gracefully while it streams", leaving.self().id());
        ReceivedStream stream = new ReceivedStream();
        String prompt = mRecords.prompt(mRandom);
        byte[] body =
                Json.encode(
                        Map.of(
                                "model",
                                DemoSite.MODEL,
                                "prompt",
                                prompt,
                                "max_tokens",
                                300,
                                "stream",
                                true));
        CompletableFuture<Void> ended =
                mClient.stream(
                        HttpMethod.POST,
                        "http://" + leaving.self().traffic() + "/v1/completions",
                        Map.of("Authorization", "Bearer " + tokenOf(0)),
                        body,
                        stream);
        await("the stream's start", () -> stream.chunks() > 0);
        boolean drained = leaving.shutdown();
        ended.orTimeout(10, TimeUnit.SECONDS).join();
        String expected = WordModel.answer(prompt.getBytes(StandardCharsets.UTF_8), 300);
        mReport.check(
                "a graceful shutdown interrupts nothing",
                drained && stream.isDone() && stream.text().equals(expected),
                stream.chunks() + " chunks");
    }

    private void collect() {
        long cached = 0;
        long computed = 0;
        Set<String> salts = new HashSet<>();
        for (EngineStandIn engine : mSite.enginesEver()) {
            cached += engine.cachedUnits();
            computed += engine.computedUnits();
            salts.addAll(engine.salts().values());
        }
        mReport.mHitRate = cached / (double) Math.max(1, cached + computed);
        for (QuilldykeInstance instance : mSite.instances()) {
            mReport.mDecisions += instance.log().count(Event.ROUTED);
            mReport.mContinued += instance.metrics().continued().getCount();
        }
        mReport.mDropped = dropped();
        mReport.check(
                "each organisation and weight version has a cache salt of its own",
                expectedSalts().containsAll(salts) && salts.size() > ORGANISATIONS.length,
                salts.size() + " salts");
        mReport.check("no invariant broke", Invariant.brokenCount() == 0, "");
        mReport.finish();
    }

    private static Set<String> expectedSalts() {
        Set<String> salts = new HashSet<>();
        for (String organisation : ORGANISATIONS) {
            for (String weights : List.of("w1", "w2")) {
                salts.add(new CacheScope(organisation, DemoSite.MODEL, weights, "").salt());
            }
        }
        return salts;
    }

    private String planAndConfirm(Intent intent, boolean show) throws QuilldykeException {
        String number = "demo-" + (++mPlanNumber);
        OperatorClient.Reply planned =
                operator().state(number, "intent-" + mPlanNumber, OPERATOR, intent);
        if (show) {
            planned.body()
                    .path("plan")
                    .path("steps")
                    .forEach(step -> say("  plan %s: %s", number, step.asText()));
            say(
                    "  effect on capacity: %s",
                    planned.body().path("plan").path("capacityNote").asText());
        }
        OperatorClient.Reply confirmed = operator().confirm(number);
        if (!planned.isOk() || !confirmed.isOk()) {
            mReport.check("plan " + number, false, planned.body() + " " + confirmed.body());
        }
        return number;
    }

    private OperatorClient operator() {
        for (QuilldykeInstance instance : mSite.instances()) {
            if (!instance.isHalted()) {
                return OperatorClient.at(
                        mClient, instance.self().traffic(), DemoSite.OPERATOR_TOKEN);
            }
        }
        throw new IllegalStateException("no instance is left");
    }

    private List<String> readyAddresses() {
        List<String> ready = new ArrayList<>();
        for (QuilldykeInstance instance : mSite.instances()) {
            if (!instance.isHalted() && instance.isReady()) {
                ready.add(instance.self().traffic());
            }
        }
        return ready;
    }

    private boolean allTargetsKnown() {
        int targets = mSite.engines().size() + mSite.services().size();
        return mSite.instances().stream().allMatch(i -> i.knownTargets() == targets);
    }

    private boolean allHaveVersion(long version) {
        return mSite.instances().stream().allMatch(i -> i.configurationVersion() >= version);
    }

    private void await(String what, BooleanSupplier condition) throws InterruptedException {
        long until = System.nanoTime() + TimeUnit.SECONDS.toNanos(60);
        while (!condition.getAsBoolean()) {
            if (System.nanoTime() > until) {
                throw new IllegalStateException("waited in vain for " + what);
            }
            Thread.sleep(10);
        }
    }

    private void say(String format, Object... values) {
        mProgress.println(String.format(format, values));
    }

    private static String tokenOf(int organisation) {
        return "demo-token-" + ORGANISATIONS[organisation];
    }
}
