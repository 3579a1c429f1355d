package review;

import java.io.File;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * The machines of a deployment as processes of the program, with the platform's part: its store,
 * the runners' entries, the rotation of ready machines and the restart of processes that end.
 */
final class Fleet {

    static final String SERVICE = "desk";
    static final String HOST = "desk.example";
    private static final int FRONT_PORT = 8161;
    private static final int READY_PORT = 8167;
    private static final int STORE_PORT = 9000;
    private static final int RUNNER_PORT = 8080;
    private static final long HEARTBEAT_MILLIS = 1500;
    private static final long RESTART_MILLIS = 700;
    private static final int MISSES_UNTIL_OUT = 2;

    final Store mStore = new Store();
    final Witness mWitness = new Witness();
    final List<Runner> mRunners = new ArrayList<>();
    final Map<String, Machine> mMachines = new TreeMap<>();
    private final Path mFolder;
    private final String mNetwork;
    private final List<String> mCommand;
    private volatile boolean mClosing;

    /** A machine and its process. */
    static final class Machine {
        final String mName;
        final String mZone;
        final String mHost;
        private Process mProcess;
        private double mEndedAt = -1;
        private int mMisses = MISSES_UNTIL_OUT;
        private double mReadySince = -1;

        private Machine(String name, String zone, String host) {
            mName = name;
            mZone = zone;
            mHost = host;
        }

        boolean isInRotation() {
            return mMisses < MISSES_UNTIL_OUT;
        }
    }

    /**
     * Creates a fleet without machines.
     *
     * @param number tells the fleets of one process apart, 0 to 11
     */
    Fleet(int number) throws IOException {
        mFolder = Files.createTempDirectory("review");
        mNetwork = freeNetwork(number);
        Matcher run =
                Pattern.compile("^run = \"(.*)\"$", Pattern.MULTILINE)
                        .matcher(Files.readString(Path.of("deploy/system.toml")));
        if (!run.find()) {
            throw new IOException("no run line in deploy/system.toml");
        }
        mCommand = List.of(run.group(1).split(" "));
        Runtime.getRuntime().addShutdownHook(new Thread(this::close));
    }

    private static String freeNetwork(int number) {
        long pid = ProcessHandle.current().pid();
        return "127." + (20 + pid / 200 % 18 + 18 * number) + "." + (20 + pid % 200) + ".";
    }

    /** Ends all processes. */
    synchronized void close() {
        if (mClosing) {
            return;
        }
        mClosing = true;
        for (Machine machine : mMachines.values()) {
            if (machine.mProcess != null) {
                machine.mProcess.destroyForcibly();
            }
        }
        try {
            for (Machine machine : mMachines.values()) {
                if (machine.mProcess != null) {
                    machine.mProcess.waitFor(5, TimeUnit.SECONDS);
                }
            }
            String logs = System.getenv("REVIEW_LOGS");
            for (File file : mFolder.toFile().listFiles()) {
                if (logs != null) {
                    Files.copy(
                            file.toPath(),
                            Path.of(logs, file.getName()),
                            java.nio.file.StandardCopyOption.REPLACE_EXISTING);
                }
                file.delete();
            }
            mFolder.toFile().delete();
        } catch (InterruptedException | IOException incomplete) {
            System.err.println("clean-up: " + incomplete);
        }
    }

    /** Writes a configuration of one queue with the prefix /q/. */
    void configure(long version, int maxAttempts, double slackFactor, long timeoutMillis) {
        Map<String, Object> route =
                Json.of(
                        "name", "r-desk",
                        "hostname", HOST,
                        "prefix", "/q/",
                        "type", "non_idempotent",
                        "timeout_ms", timeoutMillis,
                        "target_latency_ms", 60,
                        "priority", 0,
                        "service", SERVICE,
                        "max_attempts", maxAttempts,
                        "slack_factor", slackFactor);
        Map<String, Object> service =
                Json.of(
                        "name", SERVICE,
                        "health_check", "/healthz",
                        "max_connections", 64,
                        "enforce_limits", true);
        mStore.put(
                "op/config",
                Json.write(
                        Json.of(
                                "version", version,
                                "routes", List.of(route),
                                "services", List.of(service),
                                "limits", Json.of("max_body_bytes", 262_144))));
        Record.log("operator writes configuration %d", version);
    }

    /** Starts runners, the last ones of kind b, that enter themselves in the store. */
    void startRunners(int count, int ofKindB, String... zones) throws IOException {
        for (int index = 0; index < count; index++) {
            mRunners.add(
                    new Runner(
                            "i-" + index,
                            mNetwork + (150 + index),
                            RUNNER_PORT,
                            SERVICE,
                            zones[index % zones.length],
                            index < count - ofKindB ? "a" : "b",
                            mWitness));
        }
        background(
                "entries",
                () -> {
                    while (true) {
                        for (Runner runner : mRunners) {
                            runner.entry()
                                    .ifPresent(entry -> mStore.put("servers/" + runner.id(), entry));
                        }
                        Thread.sleep(HEARTBEAT_MILLIS);
                    }
                });
    }

    /** Work of the platform in the background. */
    private interface Work {
        void run() throws Exception;
    }

    private void background(String name, Work work) {
        Thread thread =
                new Thread(
                        () -> {
                            try {
                                work.run();
                            } catch (Exception end) {
                                Record.log("%s ends: %s", name, end);
                            }
                        },
                        name);
        thread.setDaemon(true);
        thread.start();
    }

    /** Adds a machine with two thirds of a core and starts its process. */
    synchronized Machine add(String zone) throws IOException {
        int number = mMachines.size();
        String name = String.format("front-%s-%02d", zone, number);
        Machine machine = new Machine(name, zone, mNetwork + (10 + number));
        String store = mNetwork + "5:" + (STORE_PORT + number);
        mStore.serve(mNetwork + "5", STORE_PORT + number, name);
        Map<String, String> settings = new LinkedHashMap<>();
        settings.put("node_name", name);
        settings.put("role", "entry");
        settings.put("machine_class", "front");
        settings.put("serves", "front");
        settings.put("ip", machine.mHost);
        settings.put("zone", zone);
        settings.put("region", "pwani");
        settings.put("listen.front", machine.mHost + ":" + FRONT_PORT);
        settings.put("listen.ready", machine.mHost + ":" + READY_PORT);
        settings.put("port_range", "7720,7735");
        settings.put("bootstrap", "true");
        settings.put("limits.cpu_share", "0.75");
        settings.put("limits.cores", "1");
        settings.put("limits.memory_mb", "430");
        settings.put("limits.max_fds", "4100");
        settings.put("discovery", "platform");
        settings.put("entrypoint", "vip");
        settings.put("heartbeat_ms", Long.toString(HEARTBEAT_MILLIS));
        settings.put("bounds.contact_ms", "3000");
        settings.put("bounds.ack_ms", "4000");
        settings.put("bounds.drain_ms", "2000");
        settings.put("bounds.grace_s", "6");
        settings.put("bounds.max_hold_ms", "1000");
        settings.put("bounds.stop_timeout_ms", "50");
        settings.put("bounds.cancel_ms", "3000");
        settings.put("bounds.visible_ms", "3000");
        settings.put("bounds.finish_s", "14");
        settings.put("bounds.status_s", "120");
        settings.put("bounds.remote_factor", "2");
        settings.put("bounds.resend_ms", "1300");
        settings.put("control_mode", "rpc");
        settings.put("platform.address", store);
        settings.put("platform.form", "kv");
        settings.put("platform.writes_per_s", "400");
        settings.put("platform.reads_per_s", "2000");
        settings.put("platform.history_s", "20");
        settings.put("platform.value_bytes", "1048576");
        settings.put("platform.min_ttl_ms", "1000");
        List<String> lines = new ArrayList<>();
        settings.forEach((key, value) -> lines.add(key + "=" + value));
        Files.write(settingsFile(machine), lines, StandardCharsets.UTF_8);
        mMachines.put(name, machine);
        start(machine);
        background("machine " + name, () -> supervise(machine));
        return machine;
    }

    private Path settingsFile(Machine machine) {
        return mFolder.resolve(machine.mName + ".conf");
    }

    private synchronized void start(Machine machine) throws IOException {
        if (mClosing) {
            return;
        }
        ProcessBuilder builder =
                new ProcessBuilder(mCommand)
                        .redirectErrorStream(true)
                        .redirectOutput(
                                ProcessBuilder.Redirect.appendTo(
                                        mFolder.resolve(machine.mName + ".log").toFile()));
        Map<String, String> environment = builder.environment();
        environment.keySet().retainAll(List.of("PATH", "HOME", "JAVA_HOME", "LANG"));
        environment.put("WAGTAILPROXY_BOOT", settingsFile(machine).toString());
        machine.mProcess = builder.start();
        machine.mEndedAt = -1;
        Record.log("%s starts at %s", machine.mName, machine.mHost);
    }

    /** Asks a machine once a second whether it is ready, and restarts a process that has ended. */
    private void supervise(Machine machine) throws Exception {
        while (!mClosing) {
            boolean ready = false;
            try {
                ready =
                        Client.call(machine.mHost, READY_PORT, "GET", "/-/ready", "", 900).status()
                                == 200;
            } catch (IOException miss) {
                ready = false;
            }
            boolean was = machine.isInRotation();
            machine.mMisses = ready ? 0 : machine.mMisses + 1;
            if (was != machine.isInRotation()) {
                machine.mReadySince = Record.now();
                Record.log("%s is %s rotation", machine.mName, was ? "out of" : "in");
            }
            for (int slice = 0; slice < 10; slice++) {
                Thread.sleep(100);
                if (!machine.mProcess.isAlive() && !mClosing) {
                    if (machine.mEndedAt < 0) {
                        machine.mEndedAt = Record.now();
                        Record.log("%s: its process has ended", machine.mName);
                    } else if ((Record.now() - machine.mEndedAt) * 1000 > RESTART_MILLIS) {
                        start(machine);
                    }
                }
            }
        }
    }

    /** Kills the process of a machine. */
    void kill(Machine machine) {
        Record.say("SIGKILL for %s", machine.mName);
        machine.mProcess.destroyForcibly();
    }

    /** Waits until a number of machines is in rotation. */
    void awaitRotation(int count, double seconds) throws InterruptedException {
        double end = Record.now() + seconds;
        while (mMachines.values().stream().filter(Machine::isInRotation).count() < count) {
            if (Record.now() > end) {
                throw new IllegalStateException("the machines are not ready in time");
            }
            Thread.sleep(50);
        }
    }

    /** Returns the machine that last wrote to the store under a condition. */
    Machine leader() {
        return mMachines.get(mStore.lastConditionalWriter());
    }

    /**
     * Returns the machine to which the platform forwards a new connection of a client: one of those
     * in rotation in the client's zone, by a hash of the client.
     */
    synchronized Machine forward(String zone, int clientHash) {
        List<Machine> inZone =
                mMachines.values().stream()
                        .filter(machine -> machine.mZone.equals(zone))
                        .toList();
        List<Machine> rotation = inZone.stream().filter(Machine::isInRotation).toList();
        List<Machine> used = 2 * rotation.size() < inZone.size() ? inZone : rotation;
        return used.get(Math.floorMod(clientHash, used.size()));
    }

    Client.Response call(Machine machine, String method, String path, String body, int millis)
            throws IOException {
        return Client.call(machine.mHost, FRONT_PORT, method, path, body, millis);
    }
}
