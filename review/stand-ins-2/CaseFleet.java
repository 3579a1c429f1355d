package org.wagtailproxy.adapter;

import com.google.common.io.Closer;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.Closeable;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.wagtailproxy.identity.HostAddress;

/**
 * A small deployment on loopback for the cases of the review: the program of the deploy file as one
 * process for each instance, the project's stand-ins of the store and of backend servers, and HTTP
 * clients. Writes what happens to a record file.
 */
final class CaseFleet implements Closeable {

    static final long HEARTBEAT_MILLIS = 1500;
    private static final Pattern RUN = Pattern.compile("run = \"(.*)\"");

    /** An instance and the addresses that only the test needs. */
    static final class Instance {
        final String mName;
        final String mZone;
        final String mHost;
        final int mPort;
        final Path mSettings;
        Process mProcess;

        private Instance(String name, String zone, String host, int port, Path settings) {
            mName = name;
            mZone = zone;
            mHost = host;
            mPort = port;
            mSettings = settings;
        }

        String name() {
            return mName;
        }

        String front() {
            return mHost + ":" + mPort;
        }

        String ready() {
            return mHost + ":" + (mPort + 1);
        }

        String metrics() {
            return mHost + ":" + (mPort + 4);
        }
    }

    private final long mStartNanos = System.nanoTime();
    private final CaseServer.Record mServerRecord;
    final StoreStandIn mStore;
    final List<Instance> mInstances = new ArrayList<>();
    final List<CaseServer> mServers = new ArrayList<>();
    final Random mRandom = new Random();
    private final Closer mCloser = Closer.create();
    private final Path mRoot;
    private final Path mFolder;
    private final Path mRecordFile;
    private final String mNetwork;
    private final int mFirstPort;
    private final HostAddress mStoreAddress;
    private final EventLoopGroup mServerGroup = newGroup();
    private final ScheduledExecutorService mTimer = Executors.newScheduledThreadPool(4);
    private final HttpClient mClient =
            HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();
    private final StringBuilder mRecord = new StringBuilder();

    CaseFleet(Path recordFile, CaseServer.Record serverRecord) throws IOException {
        mServerRecord = serverRecord;
        mRecordFile = recordFile;
        mRoot = Path.of("").toAbsolutePath();
        mFolder = Files.createTempDirectory("case-");
        mNetwork = "127." + (20 + mRandom.nextInt(200)) + "." + (1 + mRandom.nextInt(250));
        mFirstPort = freePorts();
        mStoreAddress = HostAddress.of(mNetwork + ".1", mFirstPort);
        mStore = new StoreStandIn(mStoreAddress, newGroup());
        Runtime.getRuntime().addShutdownHook(new Thread(this::endProcesses));
    }

    /** Returns the first of a hundred ports that are free on the addresses of this deployment. */
    private int freePorts() throws IOException {
        for (int tries = 0; tries < 100; tries++) {
            int first = 13_000 + 100 * mRandom.nextInt(180);
            if (isFree(mNetwork + ".1", first) && isFree(mNetwork + ".11", first + 1)) {
                return first;
            }
        }
        throw new IOException("no free ports");
    }

    private static boolean isFree(String host, int port) {
        try (ServerSocket socket = new ServerSocket()) {
            socket.bind(new InetSocketAddress(InetAddress.getByName(host), port));
            return true;
        } catch (IOException inUse) {
            return false;
        }
    }

    private EventLoopGroup newGroup() {
        EventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
        mCloser.register(() -> group.shutdownGracefully(0, 1, TimeUnit.SECONDS));
        return group;
    }

    long now() {
        return TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - mStartNanos);
    }

    synchronized void note(String text) {
        mRecord.append(String.format("%8d ms  %s%n", now(), text));
    }

    /** Writes the configuration of one queue, as the operator does. */
    void putConfiguration(long version, double slackFactor, int maxAttempts) {
        mStore.put(
                "op/config",
                "{\"version\":"
                        + version
                        + ",\"routes\":[{\"name\":\"r\",\"hostname\":\"case.example\","
                        + "\"prefix\":\"/q/\",\"service\":\"desk\",\"priority\":0,\"slack_factor\":"
                        + slackFactor
                        + ",\"target_latency_ms\":60,\"max_attempts\":"
                        + maxAttempts
                        + ",\"timeout_ms\":1500}],\"services\":[{\"name\":\"desk\","
                        + "\"enforce_limits\":true}],\"limits\":{}}");
    }

    void addServers(int number, int zones) {
        for (int index = 0; index < number; index++) {
            String id = "i-" + mServers.size();
            HostAddress address = HostAddress.of(mNetwork + ".2", mFirstPort + mServers.size());
            CaseServer server = new CaseServer(id, address, mServerGroup, mServerRecord);
            String zone = "zone-" + index % zones;
            mServers.add(server);
            mTimer.scheduleAtFixedRate(
                    () -> {
                        if (server.isUp()) {
                            register(server, zone);
                        }
                    },
                    0,
                    HEARTBEAT_MILLIS,
                    TimeUnit.MILLISECONDS);
        }
    }

    /** Writes the entry of a backend server, as it does when it starts and in each heartbeat. */
    void register(CaseServer server, String zone) {
        mStore.put("servers/" + server.id(), server.entry("desk", zone));
    }

    /** Starts an instance with the run line of the deploy file and settings of the platform. */
    Instance addInstance(int zones) throws IOException {
        int index = mInstances.size();
        String name = "front-" + index;
        String zone = "zone-" + index % zones;
        String host = mNetwork + "." + (11 + index);
        int port = mFirstPort + 1;
        Path settings = mFolder.resolve(name + ".conf");
        List<String> lines =
                new ArrayList<>(
                        List.of(
                                "node_name=" + name,
                                "role=entry",
                                "machine_class=front",
                                "serves=front",
                                "ip=" + host,
                                "zone=" + zone,
                                "region=region",
                                "listen.front=" + host + ":" + port,
                                "listen.ready=" + host + ":" + (port + 1),
                                "port_range=" + (port + 3) + "," + (port + 18),
                                "bootstrap=true",
                                "limits.cpu_share=0.75",
                                "limits.cores=1",
                                "limits.memory_mb=430",
                                "limits.max_fds=4100",
                                "discovery=platform",
                                "heartbeat_ms=" + HEARTBEAT_MILLIS,
                                "bounds.contact_ms=3000",
                                "bounds.grace_s=6",
                                "bounds.max_hold_ms=1000",
                                "bounds.stop_timeout_ms=50",
                                "bounds.cancel_ms=3000",
                                "bounds.status_s=120",
                                "bounds.remote_factor=3",
                                "control_mode=rpc",
                                "platform.address=" + mStoreAddress,
                                "platform.form=kv",
                                "platform.writes_per_s=400",
                                "platform.reads_per_s=2000",
                                "platform.history_s=20",
                                "platform.value_bytes=1048576",
                                "platform.min_ttl_ms=1000"));
        for (int each = 0; each < zones; each++) {
            lines.add("zones.zone-" + each + "=region");
        }
        Files.write(settings, lines);
        Instance instance = new Instance(name, zone, host, port, settings);
        mInstances.add(instance);
        start(instance);
        return instance;
    }

    void start(Instance instance) throws IOException {
        Matcher run = RUN.matcher(Files.readString(mRoot.resolve("deploy/system.toml")));
        if (!run.find()) {
            throw new IOException("deploy/system.toml has no run line");
        }
        ProcessBuilder builder =
                new ProcessBuilder(run.group(1).split(" "))
                        .directory(mRoot.toFile())
                        .redirectErrorStream(true)
                        .redirectOutput(
                                ProcessBuilder.Redirect.appendTo(
                                        mFolder.resolve(instance.mName + ".log").toFile()));
        builder.environment()
                .keySet()
                .retainAll(List.of("PATH", "HOME", "JAVA_HOME", "LANG"));
        builder.environment().put("WAGTAILPROXY_BOOT", instance.mSettings.toString());
        instance.mProcess = builder.start();
        note("start of " + instance.mName);
    }

    void signal(Instance instance, String signal) throws IOException, InterruptedException {
        note("SIG" + signal + " to " + instance.mName);
        new ProcessBuilder("kill", "-" + signal, Long.toString(instance.mProcess.pid()))
                .start()
                .waitFor();
    }

    /** Waits until all instances are ready and one of them holds every server. */
    Instance awaitLeader(long millis) throws InterruptedException, IOException {
        long end = now() + millis;
        while (now() < end) {
            boolean ready = true;
            Instance leader = null;
            for (Instance instance : mInstances) {
                ready &= status("GET", instance.ready(), "/-/ready", 1000) == 200;
                if (heldServers(instance) == mServers.size()) {
                    leader = instance;
                }
            }
            if (ready && leader != null) {
                note(leader.mName + " gives the orders to all servers");
                return leader;
            }
            TimeUnit.MILLISECONDS.sleep(100);
        }
        throw new IOException("the instances were not ready in time");
    }

    int heldServers(Instance instance) {
        String prefix = "wagtailproxy_held_backend_servers ";
        return call("GET", instance.metrics(), "/metrics", "", 2000, 2000)
                .join()
                .body()
                .lines()
                .filter(line -> line.startsWith(prefix))
                .mapToInt(line -> (int) Double.parseDouble(line.substring(prefix.length())))
                .findFirst()
                .orElse(0);
    }

    private int status(String method, String address, String path, long timeoutMillis) {
        return call(method, address, path, "", timeoutMillis, timeoutMillis).join().status();
    }

    /** A status and body; status 0 if there was no answer. */
    record Reply(int status, String body) {}

    /** Sends a request of a client; completes with status 0 if there is no answer. */
    CompletableFuture<Reply> call(
            String method,
            String address,
            String path,
            String body,
            long clientMillis,
            long socketMillis) {
        HttpRequest request =
                HttpRequest.newBuilder(URI.create("http://" + address + path))
                        .timeout(Duration.ofMillis(socketMillis))
                        .header("X-Wagtailproxy-Timeout-Ms", Long.toString(clientMillis))
                        .header("Host", "case.example")
                        .header("Content-Type", "application/json")
                        .method(
                                method,
                                body.isEmpty()
                                        ? HttpRequest.BodyPublishers.noBody()
                                        : HttpRequest.BodyPublishers.ofString(body))
                        .build();
        return mClient.sendAsync(request, HttpResponse.BodyHandlers.ofString())
                .handle(
                        (response, failure) ->
                                failure == null
                                        ? new Reply(response.statusCode(), response.body())
                                        : new Reply(0, failure.toString()));
    }

    ScheduledExecutorService timer() {
        return mTimer;
    }

    private void endProcesses() {
        for (Instance instance : mInstances) {
            if (instance.mProcess != null) {
                instance.mProcess.destroyForcibly();
            }
        }
    }

    @Override
    public void close() throws IOException {
        mTimer.shutdownNow();
        endProcesses();
        for (Instance instance : mInstances) {
            try {
                instance.mProcess.waitFor(5, TimeUnit.SECONDS);
            } catch (InterruptedException interrupted) {
                Thread.currentThread().interrupt();
            }
        }
        synchronized (this) {
            Files.writeString(mRecordFile, mRecord.toString());
        }
        mCloser.close();
        try (var files = Files.list(mFolder)) {
            for (Path file : files.toList()) {
                Files.delete(file);
            }
        }
        Files.delete(mFolder);
    }
}
