package org.wagtailproxy.integration;

import java.io.Closeable;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Entry processes in several data centres, with a fault proxy before each of them, before the
 * platform as each of them sees it, and before each backend server.
 */
final class Cluster implements Closeable {

    static final String SERVICE = "booking";
    static final String TEAM = "quay";

    private static final AtomicInteger CLUSTERS = new AtomicInteger();
    private static final int CALLER_PORT = 8080;
    private static final int PEER_PORT = 7080;
    private static final int PEER_PROXY_PORT = 7081;
    private static final int STORE_PORT = 2379;
    private static final int BACKEND_PORT = 9000;
    private static final int BACKEND_PROXY_PORT = 9001;
    private static final int FIRST_ENTRY_HOST = 10;
    private static final int FIRST_BACKEND_HOST = 100;

    private final String mNetwork;
    private final Path mFolder;
    private final Witness mWitness = new Witness();
    private final PlatformStandIn mPlatform;
    private final Map<String, String> mOverrides;
    private final List<String> mOptions;
    private final boolean mDirect;
    private final List<Entry> mEntries = new ArrayList<>();
    private final List<Backend> mBackends = new ArrayList<>();

    private Cluster(Map<String, String> overrides, List<String> options, boolean direct)
            throws IOException {
        mDirect = direct;
        long block = (ProcessHandle.current().pid() * 7 + CLUSTERS.incrementAndGet() * 13) % 200;
        mNetwork = "127." + (20 + block) + ".";
        mFolder = Files.createTempDirectory("wagtailproxy-cluster");
        mOverrides = new TreeMap<>(overrides);
        mOptions = options;
        mPlatform = new PlatformStandIn(mNetwork + "0.1", STORE_PORT);
    }

    /** Starts a cluster and declares one service and one team. */
    static Cluster start(int dataCentres, int entriesEach, double... slowness) throws IOException {
        return start(fast(), dataCentres, entriesEach, slowness);
    }

    static Cluster start(
            Map<String, String> overrides, int dataCentres, int entriesEach, double... slowness)
            throws IOException {
        return start(new Cluster(overrides, List.of(), false), dataCentres, entriesEach, slowness);
    }

    /** Starts a cluster for measurements, without proxies before backend servers and instances. */
    static Cluster startDirect(
            Map<String, String> overrides, int dataCentres, int entriesEach, double... slowness)
            throws IOException {
        return start(new Cluster(overrides, List.of(), true), dataCentres, entriesEach, slowness);
    }

    private static Cluster start(
            Cluster cluster, int dataCentres, int entriesEach, double... slowness)
            throws IOException {
        for (int place = 1; place <= dataCentres; place++) {
            for (int index = 0; index < slowness.length; index++) {
                cluster.addBackend(place, index, slowness[index]);
            }
            for (int index = 0; index < entriesEach; index++) {
                cluster.addEntry(place, index);
            }
        }
        for (Entry entry : cluster.mEntries) {
            entry.process().start();
        }
        cluster.awaitReady();
        cluster.caller().declare(cluster.entry(0), "team", TEAM, "{\"quota\": 4000}");
        cluster.caller().declare(cluster.entry(0), "service", SERVICE, "{}");
        cluster.awaitDeclared();
        return cluster;
    }

    /** Settings under which silence is noticed within seconds. */
    static Map<String, String> fast() {
        Map<String, String> fast = new TreeMap<>();
        fast.put("platform.poll-interval", "200ms");
        fast.put("platform.call-timeout", "500ms");
        fast.put("peers.heartbeat-interval", "100ms");
        fast.put("peers.remote-heartbeat-interval", "200ms");
        fast.put("peers.control-bytes-per-second", "100000");
        fast.put("peers.withhold-after", "1500ms");
        fast.put("peers.seal-after", "3s");
        fast.put("peers.remote-seal-after", "6s");
        return fast;
    }

    Witness witness() {
        return mWitness;
    }

    PlatformStandIn platform() {
        return mPlatform;
    }

    List<Entry> entries() {
        return mEntries;
    }

    Entry entry(int index) {
        return mEntries.get(index);
    }

    List<Entry> entriesIn(int place) {
        return mEntries.stream().filter(entry -> entry.place() == place).toList();
    }

    List<Backend> backends() {
        return mBackends;
    }

    Caller caller() {
        return new Caller();
    }

    /** Separates two data centres from each other. */
    void cut(int place, int other, FaultProxy.Fault fault) {
        for (Entry here : entriesIn(place)) {
            for (Entry there : entriesIn(other)) {
                here.peerProxy().fault(there.host(), fault);
                there.peerProxy().fault(here.host(), fault);
            }
        }
    }

    /** Separates one entry instance from all others. */
    void isolate(Entry entry, FaultProxy.Fault fault) {
        entry.peerProxy().fault(fault);
        for (Entry other : mEntries) {
            if (other != entry) {
                other.peerProxy().fault(entry.host(), fault);
            }
        }
    }

    void list(Entry entry, boolean leaving) {
        String zone = zone(entry.place());
        mPlatform.list("wagtailproxy", entry.host(), peerPort(), zone, 1, leaving);
    }

    void delist(Entry entry) {
        mPlatform.delist(entry.host() + ":" + peerPort());
    }

    void list(Backend backend, boolean leaving) {
        String zone = zone(backend.place());
        int port = mDirect ? BACKEND_PORT : BACKEND_PROXY_PORT;
        mPlatform.list(SERVICE, backend.host(), port, zone, 8, leaving);
    }

    void awaitReady() {
        for (Entry entry : mEntries) {
            if (entry.process().isAlive()) {
                awaitReady(entry);
            }
        }
    }

    void awaitReady(Entry entry) {
        Await.until(entry + " is ready", 30, () -> caller().isReady(entry));
    }

    void awaitDeclared() {
        long wanted = mPlatform.revisions("configuration/").size();
        for (Entry entry : mEntries) {
            Await.until(
                    entry + " has the configuration",
                    13,
                    () -> caller().versions(entry).size() == wanted);
        }
    }

    String logs() throws IOException {
        StringBuilder logs = new StringBuilder();
        for (Entry entry : mEntries) {
            logs.append("== ").append(entry).append('\n').append(entry.process().log());
        }
        return logs.toString();
    }

    @Override
    public void close() throws IOException {
        mEntries.forEach(entry -> entry.process().close());
        for (Entry entry : mEntries) {
            entry.peerProxy().close();
            entry.platformProxy().close();
        }
        for (Backend backend : mBackends) {
            backend.standIn().close();
            backend.proxy().close();
        }
        mPlatform.close();
    }

    private void addBackend(int place, int index, double slowness) throws IOException {
        String host = mNetwork + place + "." + (FIRST_BACKEND_HOST + index);
        BackendStandIn standIn = new BackendStandIn(host, BACKEND_PORT, slowness, 8, mWitness);
        FaultProxy proxy = new FaultProxy(host, BACKEND_PROXY_PORT, host, BACKEND_PORT);
        Backend backend = new Backend(place, host, standIn, proxy);
        mBackends.add(backend);
        list(backend, false);
    }

    private void addEntry(int place, int index) throws IOException {
        String host = mNetwork + place + "." + (FIRST_ENTRY_HOST + index);
        FaultProxy peer = new FaultProxy(host, PEER_PROXY_PORT, host, PEER_PORT);
        FaultProxy platform = new FaultProxy(host, STORE_PORT, mNetwork + "0.1", STORE_PORT);
        String name = "entry-" + place + "-" + index;
        EntryProcess process =
                new EntryProcess(name, mFolder, settings(name, place, host), mOptions);
        Entry entry = new Entry(place, host, process, peer, platform);
        mEntries.add(entry);
        list(entry, false);
    }

    private String settings(String name, int place, String host) {
        Map<String, Map<String, String>> sections = new TreeMap<>();
        Map<String, String> values = new TreeMap<>(mOverrides);
        values.put("instance.name", name);
        values.put("instance.data-centre", zone(place));
        values.put("instance.caller-address", host + ":" + CALLER_PORT);
        values.put("instance.peer-address", host + ":" + peerPort());
        values.put("instance.peer-listen-address", host + ":" + PEER_PORT);
        values.put("platform.store-address", host + ":" + STORE_PORT);
        values.put("platform.list-address", host + ":" + STORE_PORT);
        values.put("peers.seeds", seeds(place, host));
        values.forEach(
                (key, value) -> {
                    String[] parts = key.split("\\.", 2);
                    sections.computeIfAbsent(parts[0], section -> new TreeMap<>())
                            .put(parts[1], value);
                });
        StringBuilder text = new StringBuilder();
        sections.forEach(
                (section, keys) -> {
                    text.append('[').append(section).append("]\n");
                    keys.forEach(
                            (key, value) ->
                                    text.append(key).append(" = ").append(value).append('\n'));
                });
        return text.toString();
    }

    /** The first instances of the own data centre, with which one starts while the list is down. */
    private String seeds(int place, String host) {
        List<String> seeds = new ArrayList<>();
        for (int index = 0; index < 3; index++) {
            String seed = mNetwork + place + "." + (FIRST_ENTRY_HOST + index);
            if (!seed.equals(host)) {
                seeds.add(seed + ":" + peerPort());
            }
        }
        return String.join(", ", seeds);
    }

    private int peerPort() {
        return mDirect ? PEER_PORT : PEER_PROXY_PORT;
    }

    private static String zone(int place) {
        return "dc-" + place;
    }

    /** An entry process and the proxies around it. */
    record Entry(
            int place,
            String host,
            EntryProcess process,
            FaultProxy peerProxy,
            FaultProxy platformProxy) {

        String callerAddress() {
            return host + ":" + CALLER_PORT;
        }

        String peerAddress() {
            return host + ":" + PEER_PROXY_PORT;
        }

        @Override
        public String toString() {
            return process.name();
        }
    }

    /** A backend server and the proxy before it. */
    record Backend(int place, String host, BackendStandIn standIn, FaultProxy proxy) {

        String listedAddress() {
            return host + ":" + BACKEND_PROXY_PORT;
        }
    }
}
