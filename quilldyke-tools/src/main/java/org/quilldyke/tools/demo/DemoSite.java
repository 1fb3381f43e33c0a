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

import java.io.IOException;
import java.net.BindException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;
import org.quilldyke.QuilldykeException;
import org.quilldyke.daemon.QuilldykeInstance;
import org.quilldyke.daemon.caller.CallerHeaders;
import org.quilldyke.daemon.control.DataFolder;
import org.quilldyke.daemon.control.ReplicaStorage;
import org.quilldyke.daemon.settings.Site;
import org.quilldyke.routing.CostProfile;
import org.quilldyke.testkit.engine.EngineSettings;
import org.quilldyke.testkit.engine.EngineStandIn;
import org.quilldyke.testkit.service.ServiceStandIn;
import org.quilldyke.testkit.store.WeightStoreStandIn;

/** A site like Brazos County's, on loopback addresses in one process. */
public final class DemoSite {
    /** The operators' token. */
    public static final String OPERATOR_TOKEN = "demo-operator";

    /** The model, and the service whose engines run it. */
    public static final String MODEL = "lm-examiner";

    /** The plain service. */
    public static final String SERVICE = "viewer-app";

    private static final int LOAD_MILLIS = 300;

    /** Longer than any answer of the demo. */
    private static final int DRAIN_MILLIS = 20_000;

    private static final int FIRST_PORT = 10_000;

    /** Systems give outgoing connections ports above this one. */
    private static final int LAST_PORT = 30_000;

    private static final AtomicInteger NEXT_PORT = new AtomicInteger(FIRST_PORT);
    private static final String CELL = "brazos-central";
    private static final String[] DOMAINS = {
        "courthouse-annex", "records-vault", "bryan-ops", "college-station-dr"
    };

    private final Site mSite;
    private final List<QuilldykeInstance> mInstances = new ArrayList<>();
    private final List<EngineStandIn> mEngines = new ArrayList<>();
    private final List<EngineStandIn> mDeadEngines = new ArrayList<>();
    private final List<ServiceStandIn> mServices = new ArrayList<>();
    private ReplicaStorage.Opener mDisks = DataFolder::open;
    private WeightStoreStandIn mWeightStore;
    private String mWeightStoreAddress = "";
    private long mIncarnation = System.currentTimeMillis();

    private DemoSite(Site site) {
        mSite = site;
    }

    /**
     * Returns a site that isn't started.
     *
     * @param instances how many entry instances
     * @param replicas how many of them hold the control state, an odd number
     * @param folder where replicas keep their files
     * @throws IOException if no free ports can be found
     */
    public static DemoSite plan(int instances, int replicas, Path folder) throws IOException {
        return plan(instances, replicas, folder, DRAIN_MILLIS);
    }

    /**
     * Returns a site that isn't started, whose instances wait so long for open requests when they
     * shut down.
     *
     * @param instances how many entry instances
     * @param replicas how many of them hold the control state, an odd number
     * @param folder where replicas keep their files
     * @param drainMillis longest wait for open requests at shutdown
     * @throws IOException if no free ports can be found
     */
    public static DemoSite plan(int instances, int replicas, Path folder, int drainMillis)
            throws IOException {
        List<Site.Instance> list = new ArrayList<>();
        for (int i = 0; i < instances; i++) {
            String id = "entry-" + (i + 1);
            list.add(
                    new Site.Instance(
                            id,
                            DOMAINS[i % DOMAINS.length],
                            freeAddress(),
                            freeAddress(),
                            freeAddress(),
                            i < replicas
                                    ? List.of(Site.Role.ENTRY, Site.Role.CONTROL)
                                    : List.of(Site.Role.ENTRY),
                            i < replicas ? folder.resolve(id).toString() : ""));
        }
        return new DemoSite(
                new Site(
                        CELL,
                        CostProfile.REUSE,
                        CallerHeaders.sha256(OPERATOR_TOKEN),
                        list,
                        new Site.Limits(4 << 20, 4 << 20, 4096, 2, 0.2, 4),
                        new Site.Timings(
                                4000,
                                500,
                                2500,
                                3000,
                                30_000,
                                5000,
                                1000,
                                300,
                                drainMillis,
                                200,
                                30_000,
                                86_400_000)));
    }

    /** Sets how instances that are started from now on keep the control state. */
    void useDisks(ReplicaStorage.Opener disks) {
        mDisks = disks;
    }

    /** Starts all instances. */
    public void startInstances() throws QuilldykeException {
        for (Site.Instance instance : mSite.instances()) {
            mInstances.add(QuilldykeInstance.start(mSite, instance.id(), mDisks));
        }
    }

    /** Starts engines of {@link #MODEL} with the given weights. */
    public void startEngines(int count, String weights) throws IOException {
        for (int i = 0; i < count; i++) {
            mEngines.add(startEngine(i, weights, freeAddress()));
        }
    }

    /** Starts the store that engines started later load their weights from. */
    public void startWeightStore() throws IOException {
        mWeightStoreAddress = freeAddress();
        mWeightStore = WeightStoreStandIn.start(mWeightStoreAddress, LOAD_MILLIS);
    }

    /** Returns the largest number of engines that loaded weights at once. */
    public int mostLoadsAtOnce() {
        return mWeightStore.mostAtOnce();
    }

    /** Starts targets of {@link #SERVICE}. */
    public void startServices(int count) throws IOException {
        for (int i = 0; i < count; i++) {
            mServices.add(
                    ServiceStandIn.start(
                            SERVICE + "-" + (i + 1),
                            CELL,
                            SERVICE,
                            freeAddress(),
                            DOMAINS[i % DOMAINS.length],
                            announceAt(),
                            ++mIncarnation));
        }
    }

    /** Kills an engine; its cache and runs are lost. */
    public EngineStandIn killEngine(int index) {
        EngineStandIn engine = mEngines.get(index);
        engine.kill();
        mDeadEngines.add(engine);
        return engine;
    }

    /** Starts a killed engine again, with a new incarnation and an empty cache. */
    public void restartEngine(int index) throws IOException {
        EngineSettings old = mEngines.get(index).settings();
        mEngines.set(index, EngineStandIn.start(old, ++mIncarnation));
    }

    /** Stops an instance at once and returns its place. */
    public int haltInstance(QuilldykeInstance instance) {
        int index = mInstances.indexOf(instance);
        instance.halt();
        return index;
    }

    /** Starts a stopped instance again, with the files it left. */
    public void restartInstance(int index) throws QuilldykeException {
        String id = mSite.instances().get(index).id();
        mInstances.set(index, QuilldykeInstance.start(mSite, id, mDisks));
    }

    /** Returns the instance that leads the control group, or null. */
    public QuilldykeInstance leader() {
        for (QuilldykeInstance instance : mInstances) {
            if (instance.isLeader()) {
                return instance;
            }
        }
        return null;
    }

    /** Stops everything. */
    public void stop() {
        mInstances.forEach(QuilldykeInstance::halt);
        mEngines.forEach(EngineStandIn::kill);
        mServices.forEach(ServiceStandIn::kill);
        if (mWeightStore != null) {
            mWeightStore.kill();
        }
    }

    /** Returns the settings. */
    public Site site() {
        return mSite;
    }

    /** Returns the instances in order. */
    public List<QuilldykeInstance> instances() {
        return mInstances;
    }

    /** Returns the engines in order. */
    public List<EngineStandIn> engines() {
        return mEngines;
    }

    /** Returns all engines that ever ran. */
    public List<EngineStandIn> enginesEver() {
        List<EngineStandIn> all = new ArrayList<>(mEngines);
        mDeadEngines.stream().filter(e -> !all.contains(e)).forEach(all::add);
        return all;
    }

    /** Returns the plain services in order. */
    public List<ServiceStandIn> services() {
        return mServices;
    }

    private EngineStandIn startEngine(int index, String weights, String address)
            throws IOException {
        return EngineStandIn.start(
                new EngineSettings(
                        MODEL + "-" + (index + 1),
                        CELL,
                        MODEL,
                        address,
                        DOMAINS[index % DOMAINS.length],
                        announceAt(),
                        MODEL,
                        weights,
                        16,
                        200,
                        5,
                        400,
                        index % 2 == 0,
                        50,
                        20,
                        mWeightStoreAddress),
                ++mIncarnation);
    }

    private List<String> announceAt() {
        List<String> addresses = new ArrayList<>();
        mSite.instances().forEach(instance -> addresses.add(instance.traffic()));
        return addresses;
    }

    /**
     * Returns a free loopback address that no outgoing connection takes before it is bound: its
     * port is below those that connections are given, and its IP number belongs to this process.
     *
     * @throws IOException if none is free
     */
    public static String freeAddress() throws IOException {
        long process = ProcessHandle.current().pid();
        String ip = "127." + (1 + process % 250) + "." + process / 250 % 250 + ".1";
        while (NEXT_PORT.get() < LAST_PORT) {
            int port = NEXT_PORT.getAndIncrement();
            try (ServerSocket socket = new ServerSocket(port, 1, InetAddress.getByName(ip))) {
                return ip + ":" + socket.getLocalPort();
            } catch (BindException e) {
                // Another process has it; the next one will do.
                continue;
            }
        }
        throw new IOException("no port is free at " + ip);
    }
}
