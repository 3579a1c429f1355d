package org.wagtailproxy.adapter;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.wagtailproxy.document.Json;
import org.wagtailproxy.identity.HostAddress;

/**
 * A small deployment on loopback: instances as processes with the command of the deploy file,
 * runners, the platform's store, and a proxy on each path between them. Plays the platform: starts
 * ended processes again and keeps the entries of the runners.
 */
final class ReviewFleet implements AutoCloseable {

    static final String SERVICE = "huvo11a";
    static final String PREFIX = "/lohu930/";

    private static final String INSTANCES = "instances/";
    private static final String SERVERS = "servers/";
    private static final long HEARTBEAT_MILLIS = 1500;
    private static final long ENTRY_MILLIS = 3 * HEARTBEAT_MILLIS;
    private static final long GRACE_MILLIS = 6000;
    private static final long RESTART_MILLIS = 700;
    private static final int FRONT_PORT = 8161;
    private static final int READY_PORT = 8167;
    private static final int PEER_PORT = 7720;
    private static final int STORE_PORT = 8169;
    private static final int RUNNER_PORT = 8080;

    private final ReviewRecord mRecord;
    private final Path mFolder;
    private final List<EventLoopGroup> mGroups = new ArrayList<>();
    private final EventLoopGroup mRunnerGroup = newGroup();
    private final FaultyLinks mLinks = new FaultyLinks(newGroup(), host(77), 4000);
    private final StoreStandIn mStore =
            new StoreStandIn(HostAddress.of(host(78), STORE_PORT), newGroup());
    private final List<StoreRelay> mStoreRelays = new ArrayList<>();
    private final Map<String, Instance> mInstances = new LinkedHashMap<>();
    private final Map<String, ReviewRunner> mRunners = new LinkedHashMap<>();
    private final Map<String, Long> mHeartbeats = new ConcurrentHashMap<>();
    private final Set<String> mCutRunners = ConcurrentHashMap.newKeySet();
    private final Thread mPlatform = new Thread(this::playPlatform, "platform");
    private volatile boolean mOver;
    private long mVersion;

    /** An instance and its process. */
    final class Instance {
        private final String mName;
        private final String mZone;
        private final String mHost;
        private final StoreStandIn.Reader mReader;
        private Process mProcess;
        private long mEndedMillis = -1;
        private long mTerminatedMillis = -1;
        private boolean mExpected;

        private Instance(String name, String zone, int index) throws IOException {
            mName = name;
            mZone = zone;
            mHost = host(100 + index);
            HostAddress view = HostAddress.of(host(78), STORE_PORT + 1 + index);
            mReader = mStore.addReader(view, (key, value) -> viewOf(name, key, value));
            HostAddress store = HostAddress.of(host(76), STORE_PORT + 1 + index);
            mStoreRelays.add(new StoreRelay(store, view));
            Files.write(
                    settings(),
                    List.of(
                            "node_name=" + name,
                            "role=entry",
                            "machine_class=front",
                            "zone=" + zone,
                            "region=pwani",
                            "ip=" + mHost,
                            "listen.front=" + mHost + ":" + FRONT_PORT,
                            "listen.ready=" + mHost + ":" + READY_PORT,
                            "listen.control=" + mHost + ":8166",
                            "port_range=7720,7735",
                            "bootstrap=true",
                            "limits.cpu_share=0.75",
                            "limits.cores=1",
                            "limits.memory_mb=430",
                            "limits.max_fds=4100",
                            "discovery=platform",
                            "entrypoint=vip",
                            "heartbeat_ms=1500",
                            "contracts=base,drain,config,cost,recover,sched,platform,advice,"
                                    + "upkeep,sharing",
                            "bounds.contact_ms=3000",
                            "bounds.drain_ms=2000",
                            "bounds.grace_s=6",
                            "bounds.apply_ms=2000",
                            "bounds.max_hold_ms=1000",
                            "bounds.stop_timeout_ms=50",
                            "bounds.cancel_ms=3000",
                            "bounds.remote_factor=2",
                            "bounds.resend_ms=1300",
                            "control_mode=rpc",
                            "platform.address=" + store,
                            "platform.form=kv",
                            "platform.writes_per_s=400",
                            "platform.reads_per_s=2000",
                            "platform.value_bytes=1048576",
                            "platform.min_ttl_ms=1000"));
        }

        String name() {
            return mName;
        }

        String zone() {
            return mZone;
        }

        HostAddress front() {
            return HostAddress.of(mHost, FRONT_PORT);
        }

        HostAddress ready() {
            return HostAddress.of(mHost, READY_PORT);
        }

        private HostAddress peer() {
            return HostAddress.of(mHost, PEER_PORT);
        }

        private Path settings() {
            return mFolder.resolve(mName + ".conf");
        }

        private synchronized void start() throws IOException {
            setDead(true);
            ProcessBuilder builder =
                    new ProcessBuilder(command())
                            .redirectErrorStream(true)
                            .redirectOutput(
                                    ProcessBuilder.Redirect.appendTo(
                                            mFolder.resolve(mName + ".log").toFile()));
            builder.environment()
                    .keySet()
                    .retainAll(Set.of("PATH", "HOME", "JAVA_HOME", "LANG"));
            builder.environment().put("WAGTAILPROXY_BOOT", settings().toString());
            mProcess = builder.start();
            mEndedMillis = -1;
            mTerminatedMillis = -1;
            mExpected = false;
            mRecord.write("process of " + mName + " starts");
        }

        /** Refuses connections of other instances to an address on which nothing listens. */
        private void setDead(boolean dead) {
            if (dead) {
                mLinks.disturb(
                        "dead " + mName,
                        FaultyLinks.Mode.REFUSED,
                        (source, target) -> target.equals(mName));
            } else {
                mLinks.restore("dead " + mName);
            }
        }

        synchronized boolean isAlive() {
            return mProcess != null && mProcess.isAlive();
        }

        synchronized void kill() {
            mExpected = true;
            mProcess.destroyForcibly();
            setDead(true);
            mRecord.write("SIGKILL to " + mName);
        }

        synchronized void terminate() {
            mExpected = true;
            mTerminatedMillis = mRecord.nowMillis();
            mProcess.destroy();
            mRecord.write("SIGTERM to " + mName);
        }

        private synchronized void supervise() throws IOException {
            long now = mRecord.nowMillis();
            if (isAlive()) {
                if (mTerminatedMillis >= 0 && now - mTerminatedMillis > GRACE_MILLIS) {
                    kill();
                } else if (listens(peer())) {
                    setDead(false);
                }
            } else if (mEndedMillis < 0) {
                mEndedMillis = now;
                setDead(true);
                mRecord.write(
                        "process of "
                                + mName
                                + " has ended with "
                                + mProcess.exitValue()
                                + (mExpected ? "" : " by itself"));
            } else if (now - mEndedMillis > RESTART_MILLIS) {
                start();
            }
        }
    }

    private ReviewFleet(ReviewRecord record) throws IOException {
        mRecord = record;
        mFolder = Files.createTempDirectory("review-");
    }

    static ReviewFleet create(ReviewRecord record) throws IOException {
        ReviewFleet fleet = new ReviewFleet(record);
        fleet.configure();
        return fleet;
    }

    /** Writes the next version of the configuration, with another time-out. */
    void configure() {
        mVersion += 3;
        String route =
                "{\"name\":\"lohu930\",\"hostname\":\""
                        + ReviewClient.HOST
                        + "\",\"prefix\":\""
                        + PREFIX
                        + "\",\"service\":\""
                        + SERVICE
                        + "\",\"priority\":1,\"slack_factor\":1.6,\"target_latency_ms\":60,"
                        + "\"max_attempts\":4,\"timeout_ms\":"
                        + (5000 + mVersion)
                        + "}";
        String service = "{\"name\":\"" + SERVICE + "\",\"enforce_limits\":true}";
        mStore.put(
                "op/config",
                "{\"version\":"
                        + mVersion
                        + ",\"routes\":["
                        + route
                        + "],\"services\":["
                        + service
                        + "],\"limits\":{}}");
    }

    void addInstance(String name, String zone) throws IOException {
        mInstances.put(name, new Instance(name, zone, mInstances.size()));
    }

    void addRunner(String id, String zone, String kind, String rack) {
        HostAddress address = HostAddress.of(host(79), RUNNER_PORT + mRunners.size());
        mRunners.put(
                id, new ReviewRunner(id, zone, address, kind, rack, mRunnerGroup, mRecord));
    }

    /** Starts the processes and waits until all are registered and ready. */
    void start() throws IOException, InterruptedException {
        for (Instance source : mInstances.values()) {
            mInstances.values().forEach(to -> mLinks.address(source.mName, to.mName, to.peer()));
            mRunners.values().forEach(to -> mLinks.address(source.mName, to.id(), to.address()));
        }
        for (ReviewRunner runner : mRunners.values()) {
            writeEntry(runner);
        }
        for (Instance instance : mInstances.values()) {
            instance.start();
            TimeUnit.MILLISECONDS.sleep(250);
        }
        mPlatform.setDaemon(true);
        mPlatform.start();
        long limitMillis = mRecord.nowMillis() + 25_000;
        while (!mInstances.values().stream().allMatch(each -> isReady(each, 500))) {
            if (mRecord.nowMillis() > limitMillis) {
                throw new IOException("not all instances are ready in time");
            }
            TimeUnit.MILLISECONDS.sleep(100);
        }
        TimeUnit.MILLISECONDS.sleep(2500);
    }

    static boolean isReady(Instance instance, int patienceMillis) {
        return ReviewClient.send(instance.ready(), "GET", "/-/ready", "", patienceMillis).status()
                == 200;
    }

    List<Instance> instances() {
        return List.copyOf(mInstances.values());
    }

    ReviewRunner runner(String id) {
        return mRunners.get(id);
    }

    List<ReviewRunner> runners() {
        return List.copyOf(mRunners.values());
    }

    /** Returns the instance that says in its metrics that it leads. */
    Instance leader() throws IOException {
        for (Instance instance : mInstances.values()) {
            HostAddress metrics = HostAddress.of(instance.mHost, PEER_PORT + 1);
            String text = ReviewClient.send(metrics, "GET", "/metrics", "", 2000).body();
            if (Pattern.compile("(?m)^wagtailproxy_leads 1").matcher(text).find()) {
                mRecord.write(instance.mName + " leads");
                return instance;
            }
        }
        throw new IOException("no instance leads");
    }

    /** Cuts a zone off from the other zones and from the store; clients still reach it. */
    void cutZone(String zone) {
        mLinks.disturb(
                "zone",
                FaultyLinks.Mode.HELD,
                (source, target) -> zone.equals(zoneOf(source)) != zone.equals(zoneOf(target)));
        for (Instance instance : mInstances.values()) {
            if (instance.mZone.equals(zone)) {
                instance.mReader.setUnresponsive(true);
            }
        }
        for (ReviewRunner runner : mRunners.values()) {
            if (runner.zone().equals(zone)) {
                mCutRunners.add(runner.id());
            }
        }
        mRecord.write("zone " + zone + " is cut off");
    }

    void healZone() {
        mInstances.values().forEach(instance -> instance.mReader.setUnresponsive(false));
        mCutRunners.clear();
        mLinks.restore("zone");
        mRecord.write("the cut heals");
    }

    /** Silences all open connections to the store for good. */
    void silenceStoreConnections() {
        mStoreRelays.forEach(StoreRelay::silenceOpenConnections);
        mRecord.write("all open connections to the store go silent");
    }

    private String zoneOf(String name) {
        Instance instance = mInstances.get(name);
        return instance != null ? instance.mZone : mRunners.get(name).zone();
    }

    /** Writes the entry of a runner now, as it does at its start. */
    void writeEntry(ReviewRunner runner) {
        mHeartbeats.put(runner.id(), mRecord.nowMillis());
        mStore.put(SERVERS + runner.id(), runner.entry(SERVICE));
    }

    private void playPlatform() {
        while (!mOver) {
            try {
                for (ReviewRunner runner : mRunners.values()) {
                    beat(runner);
                }
                for (Instance instance : mInstances.values()) {
                    if (!mOver) {
                        instance.supervise();
                    }
                }
                TimeUnit.MILLISECONDS.sleep(50);
            } catch (IOException | RuntimeException failure) {
                mRecord.write("platform: " + failure);
            } catch (InterruptedException interrupted) {
                return;
            }
        }
    }

    private void beat(ReviewRunner runner) {
        long sinceMillis = mRecord.nowMillis() - mHeartbeats.get(runner.id());
        boolean isSilent = !runner.isUp() || mCutRunners.contains(runner.id());
        if (!isSilent && sinceMillis >= HEARTBEAT_MILLIS) {
            writeEntry(runner);
        } else if (isSilent && sinceMillis > ENTRY_MILLIS) {
            mStore.delete(SERVERS + runner.id());
        }
    }

    /** Replaces the address of an instance or a runner by that of the reader's path to it. */
    private byte[] viewOf(String reader, String key, byte[] value) {
        String target = key.substring(key.indexOf('/') + 1);
        boolean isInstance = key.startsWith(INSTANCES);
        if (target.equals(reader) || !(isInstance || key.startsWith(SERVERS))) {
            return value;
        }
        ObjectNode entry = (ObjectNode) Json.parse(value).get();
        String field = isInstance ? "peerAddress" : "address";
        HostAddress address = HostAddress.parse(entry.path(field).asText()).get();
        entry.put(field, mLinks.address(reader, target, address).toString());
        return entry.toString().getBytes(StandardCharsets.UTF_8);
    }

    private static boolean listens(HostAddress address) {
        try (Socket socket = new Socket()) {
            socket.connect(new InetSocketAddress(address.host(), address.port()), 100);
            return true;
        } catch (IOException refused) {
            return false;
        }
    }

    private static List<String> command() throws IOException {
        Matcher run =
                Pattern.compile("(?m)^run = \"(.*)\"$")
                        .matcher(Files.readString(Path.of("deploy/system.toml")));
        if (!run.find()) {
            throw new IOException("deploy/system.toml has no run line");
        }
        return List.of(run.group(1).split(" "));
    }

    private EventLoopGroup newGroup() {
        EventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
        mGroups.add(group);
        return group;
    }

    /** Returns a loopback address that belongs to this process. */
    private static String host(int network) {
        long pid = ProcessHandle.current().pid();
        return "127." + network + "." + pid / 254 % 256 + "." + (1 + pid % 254);
    }

    /** Kills the processes of all instances. */
    void killAll() {
        mOver = true;
        mPlatform.interrupt();
        for (Instance instance : mInstances.values()) {
            Process process = instance.mProcess;
            if (process != null) {
                process.destroyForcibly();
            }
        }
    }

    @Override
    public void close() throws IOException {
        killAll();
        for (StoreRelay relay : mStoreRelays) {
            relay.close();
        }
        mGroups.forEach(group -> group.shutdownGracefully(0, 1, TimeUnit.SECONDS));
        if (System.getenv("KEEP") == null) {
            try (var files = Files.list(mFolder)) {
                for (Path file : files.toList()) {
                    Files.delete(file);
                }
            }
            Files.delete(mFolder);
        } else {
            System.err.println("logs: " + mFolder);
        }
    }
}
