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
 * Runs entry processes in several data centres, with stand-ins for platform and backend servers.
 *
 * <p>There is a fault proxy for the peer address of each instance, for each backend server, and
 * between each instance and the platform. Every host has its own loopback address, by which the
 * proxies identify the source of a connection.
 */
final class Cluster implements Closeable {

    static final String SERVICE = "booking";
    static final String TEAM = "quay";

    private static final AtomicInteger CLUSTER_COUNT = new AtomicInteger();
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
    private final TaskStartRecorder mStartRecorder = new TaskStartRecorder();
    private final PlatformStandIn mPlatform;
    private final Map<String, String> mSettingOverrides;
    private final List<String> mJvmOptions;
    private final boolean mWithoutProxies;
    private final List<Entry> mEntries = new ArrayList<>();
    private final List<Backend> mBackends = new ArrayList<>();

    private Cluster(
            Map<String, String> settingOverrides, List<String> jvmOptions, boolean withoutProxies)
            throws IOException {
        mWithoutProxies = withoutProxies;
        long networkNumber =
                (ProcessHandle.current().pid() * 7 + CLUSTER_COUNT.incrementAndGet() * 13) % 200;
        mNetwork = "127." + (20 + networkNumber) + ".";
        mFolder = Files.createTempDirectory("wagtailproxy-cluster");
        mSettingOverrides = new TreeMap<>(settingOverrides);
        mJvmOptions = jvmOptions;
        mPlatform = new PlatformStandIn(mNetwork + "0.1", STORE_PORT);
    }

    /**
     * Starts a cluster with short timeouts, creates one service and one team, and waits until every
     * instance has both.
     *
     * @param slowdowns the slowdown of each backend server of a data centre
     */
    static Cluster start(int dataCentres, int entriesPerDataCentre, double... slowdowns)
            throws IOException {
        return start(shortTimeoutSettings(), dataCentres, entriesPerDataCentre, slowdowns);
    }

    static Cluster start(
            Map<String, String> settingOverrides,
            int dataCentres,
            int entriesPerDataCentre,
            double... slowdowns)
            throws IOException {
        return start(
                new Cluster(settingOverrides, List.of(), false),
                dataCentres,
                entriesPerDataCentre,
                slowdowns);
    }

    /**
     * Starts a cluster for measurements: calls to backend servers and peers bypass the fault
     * proxies.
     */
    static Cluster startDirect(
            Map<String, String> settingOverrides,
            int dataCentres,
            int entriesPerDataCentre,
            double... slowdowns)
            throws IOException {
        return start(
                new Cluster(settingOverrides, List.of(), true),
                dataCentres,
                entriesPerDataCentre,
                slowdowns);
    }

    private static Cluster start(
            Cluster cluster, int dataCentres, int entriesPerDataCentre, double... slowdowns)
            throws IOException {
        for (int dataCentre = 1; dataCentre <= dataCentres; dataCentre++) {
            for (int index = 0; index < slowdowns.length; index++) {
                cluster.addBackend(dataCentre, index, slowdowns[index]);
            }
            for (int index = 0; index < entriesPerDataCentre; index++) {
                cluster.addEntry(dataCentre, index);
            }
        }
        for (Entry entry : cluster.mEntries) {
            entry.process().start();
        }
        cluster.awaitReady();
        cluster.caller().declare(cluster.entry(0), "team", TEAM, "{\"quota\": 4000}");
        cluster.caller().declare(cluster.entry(0), "service", SERVICE, "{}");
        cluster.awaitConfiguration();
        return cluster;
    }

    /** Returns settings under which unresponsive instances are detected within seconds. */
    static Map<String, String> shortTimeoutSettings() {
        Map<String, String> settings = new TreeMap<>();
        settings.put("platform.poll-interval", "200ms");
        settings.put("platform.call-timeout", "500ms");
        settings.put("peers.heartbeat-interval", "100ms");
        settings.put("peers.remote-heartbeat-interval", "200ms");
        settings.put("peers.control-bytes-per-second", "100000");
        settings.put("peers.withhold-after", "1500ms");
        settings.put("peers.seal-after", "3s");
        settings.put("peers.remote-seal-after", "6s");
        return settings;
    }

    TaskStartRecorder startRecorder() {
        return mStartRecorder;
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

    List<Entry> entriesIn(int dataCentre) {
        return mEntries.stream().filter(entry -> entry.dataCentre() == dataCentre).toList();
    }

    List<Backend> backends() {
        return mBackends;
    }

    Caller caller() {
        return new Caller();
    }

    /** Sets the fault on all connections between the instances of two data centres. */
    void setFaultBetween(int dataCentre, int otherDataCentre, FaultProxy.Fault fault) {
        for (Entry entry : entriesIn(dataCentre)) {
            for (Entry otherEntry : entriesIn(otherDataCentre)) {
                entry.peerProxy().setFault(otherEntry.host(), fault);
                otherEntry.peerProxy().setFault(entry.host(), fault);
            }
        }
    }

    /** Sets the fault on all connections between an entry instance and the others. */
    void setPeerFault(Entry entry, FaultProxy.Fault fault) {
        entry.peerProxy().setFault(fault);
        for (Entry other : mEntries) {
            if (other != entry) {
                other.peerProxy().setFault(entry.host(), fault);
            }
        }
    }

    void putInInstanceList(Entry entry, boolean terminating) {
        String dataCentreName = dataCentreName(entry.dataCentre());
        mPlatform.putInstance(
                "wagtailproxy", entry.host(), peerPort(), dataCentreName, 1, terminating);
    }

    void removeFromInstanceList(Entry entry) {
        mPlatform.removeInstance(entry.host() + ":" + peerPort());
    }

    void putInInstanceList(Backend backend, boolean terminating) {
        String dataCentreName = dataCentreName(backend.dataCentre());
        int port = mWithoutProxies ? BACKEND_PORT : BACKEND_PROXY_PORT;
        mPlatform.putInstance(SERVICE, backend.host(), port, dataCentreName, 8, terminating);
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

    void awaitConfiguration() {
        long expectedCount = mPlatform.revisions("configuration/").size();
        for (Entry entry : mEntries) {
            Await.until(
                    entry + " has the configuration",
                    13,
                    () -> caller().activeVersions(entry).size() == expectedCount);
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

    private void addBackend(int dataCentre, int index, double slowdown) throws IOException {
        String host = mNetwork + dataCentre + "." + (FIRST_BACKEND_HOST + index);
        BackendStandIn standIn =
                new BackendStandIn(host, BACKEND_PORT, slowdown, 8, mStartRecorder);
        FaultProxy proxy = new FaultProxy(host, BACKEND_PROXY_PORT, host, BACKEND_PORT);
        Backend backend = new Backend(dataCentre, host, standIn, proxy);
        mBackends.add(backend);
        putInInstanceList(backend, false);
    }

    private void addEntry(int dataCentre, int index) throws IOException {
        String host = mNetwork + dataCentre + "." + (FIRST_ENTRY_HOST + index);
        FaultProxy peerProxy = new FaultProxy(host, PEER_PROXY_PORT, host, PEER_PORT);
        FaultProxy platformProxy = new FaultProxy(host, STORE_PORT, mNetwork + "0.1", STORE_PORT);
        String name = "entry-" + dataCentre + "-" + index;
        EntryProcess process =
                new EntryProcess(name, mFolder, settings(name, dataCentre, host), mJvmOptions);
        Entry entry = new Entry(dataCentre, host, process, peerProxy, platformProxy);
        mEntries.add(entry);
        putInInstanceList(entry, false);
    }

    private String settings(String name, int dataCentre, String host) {
        Map<String, Map<String, String>> sections = new TreeMap<>();
        Map<String, String> values = new TreeMap<>(mSettingOverrides);
        values.put("instance.name", name);
        values.put("instance.data-centre", dataCentreName(dataCentre));
        values.put("instance.caller-address", host + ":" + CALLER_PORT);
        values.put("instance.peer-address", host + ":" + peerPort());
        values.put("instance.peer-listen-address", host + ":" + PEER_PORT);
        values.put("platform.store-address", host + ":" + STORE_PORT);
        values.put("platform.list-address", host + ":" + STORE_PORT);
        values.put("peers.seeds", seedAddresses(dataCentre, host));
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

    /**
     * Returns the peer addresses of the first instances of the data centre. An instance contacts
     * them when it starts while the instance list is unavailable.
     */
    private String seedAddresses(int dataCentre, String host) {
        List<String> seeds = new ArrayList<>();
        for (int index = 0; index < 3; index++) {
            String seed = mNetwork + dataCentre + "." + (FIRST_ENTRY_HOST + index);
            if (!seed.equals(host)) {
                seeds.add(seed + ":" + peerPort());
            }
        }
        return String.join(", ", seeds);
    }

    private int peerPort() {
        return mWithoutProxies ? PEER_PORT : PEER_PROXY_PORT;
    }

    private static String dataCentreName(int dataCentre) {
        return "dc-" + dataCentre;
    }

    /**
     * Represents an entry process with its proxies.
     *
     * @param dataCentre the number of the data centre, from 1
     * @param host the loopback address of the instance
     * @param process the process
     * @param peerProxy the proxy for the peer address
     * @param platformProxy the proxy between the instance and the platform
     */
    record Entry(
            int dataCentre,
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

    /**
     * Represents a backend server with its proxy.
     *
     * @param dataCentre the number of the data centre, from 1
     * @param host the loopback address of the server
     * @param standIn the server
     * @param proxy the proxy for the server
     */
    record Backend(int dataCentre, String host, BackendStandIn standIn, FaultProxy proxy) {

        String listedAddress() {
            return host + ":" + BACKEND_PROXY_PORT;
        }
    }
}
