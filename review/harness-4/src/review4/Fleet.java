package review4;

import java.io.File;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** The instances as separate processes, with the command of the deploy file, and their store. */
final class Fleet implements AutoCloseable {

    static final String HOST = "barge.example";
    private static final Pattern RUN = Pattern.compile("(?m)^run = \"(.*)\"$");

    /** One instance at a loopback address of its own. */
    final class Instance {
        final String mName;
        final String mZone;
        final String mHost;
        private Process mProcess;

        private Instance(String name, String zone, String host) {
            mName = name;
            mZone = zone;
            mHost = host;
        }

        String front() {
            return mHost + ":" + mFrontPort;
        }

        void start() throws Exception {
            Matcher run = RUN.matcher(Files.readString(Path.of("deploy/system.toml")));
            if (!run.find()) {
                throw new IllegalStateException("no run line in the deploy file");
            }
            Path settings = mFolder.resolve(mName + ".conf");
            Files.writeString(settings, settings(this));
            ProcessBuilder builder =
                    new ProcessBuilder(run.group(1).split(" "))
                            .redirectErrorStream(true)
                            .redirectOutput(
                                    ProcessBuilder.Redirect.appendTo(
                                            mFolder.resolve(mName + ".log").toFile()));
            builder.environment().put("WAGTAILPROXY_BOOT", settings.toString());
            mProcess = builder.start();
        }

        boolean isReady() {
            return Web.call(mHost + ":" + (mFrontPort + 6), "GET", HOST, "/-/ready", "", 500).status()
                    == 200;
        }
    }

    private final Record mRecord;
    private final Store mStore;
    private final Path mFolder = Files.createTempDirectory("review4-");
    private final List<Instance> mInstances = new ArrayList<>();
    private final int mFrontPort;
    private final int mFirstPort;

    /** Loopback addresses of this process, so that two cases can run at the same time. */
    private final String mNetwork =
            "127." + (10 + ProcessHandle.current().pid() % 200) + "."
                    + ProcessHandle.current().pid() / 200 % 250 + ".";

    Fleet(Record record, Store store, Map<String, Integer> instancesByZone) throws Exception {
        mRecord = record;
        mStore = store;
        int front = 8161;
        int first = 7720;
        while (!areFree(front, first)) {
            front += 20;
            first += 20;
        }
        mFrontPort = front;
        mFirstPort = first;
        int host = 1;
        for (String zone : instancesByZone.keySet().stream().sorted().toList()) {
            for (int index = 1; index <= instancesByZone.get(zone); index++) {
                mInstances.add(new Instance("front-" + zone + "-" + index, zone, mNetwork + host++));
            }
        }
        Runtime.getRuntime().addShutdownHook(new Thread(this::close));
    }

    private boolean areFree(int front, int first) {
        for (int host = 1; host <= 9; host++) {
            for (int port : new int[] {front, front + 6, first, first + 1}) {
                if (!Web.isFree(mNetwork + host, port)) {
                    return false;
                }
            }
        }
        return true;
    }

    List<Instance> instances() {
        return mInstances;
    }

    void start() throws Exception {
        for (Instance instance : mInstances) {
            instance.start();
        }
        long endNanos = System.nanoTime() + TimeUnit.SECONDS.toNanos(30);
        for (Instance instance : mInstances) {
            while (!instance.isReady()) {
                if (System.nanoTime() - endNanos > 0) {
                    throw new IllegalStateException(instance.mName + " is not ready");
                }
                Clock.sleep(100);
            }
        }
        mRecord.add("%d instances are ready", mInstances.size());
        // Traffic starts a while after the machines do.
        Clock.sleep(7000);
    }

    private String settings(Instance instance) {
        return String.join(
                "\n",
                "node_name=" + instance.mName,
                "role=entry",
                "machine_class=front",
                "serves=front",
                "ip=" + instance.mHost,
                "zone=" + instance.mZone,
                "region=coast",
                "listen.front=" + instance.front(),
                "listen.ready=" + instance.mHost + ":" + (mFrontPort + 6),
                "port_range=" + mFirstPort + "," + (mFirstPort + 15),
                "bootstrap=true",
                "limits.cpu_share=0.75",
                "limits.cores=1",
                "limits.memory_mb=430",
                "limits.max_fds=4100",
                "limits.link_mbps=1000.0",
                "discovery=platform",
                "heartbeat_ms=1500",
                "contracts=base,drain,config,cost,recover,sched,platform,advice,upkeep,sharing",
                "fault_tolerance.machines=2",
                "fault_tolerance.zones=1",
                "fault_tolerance.regions=0",
                "bounds.contact_ms=3000",
                "bounds.ack_ms=4000",
                "bounds.drain_ms=2000",
                "bounds.grace_s=6",
                "bounds.apply_ms=2000",
                "bounds.max_hold_ms=1000",
                "bounds.stop_timeout_ms=50",
                "bounds.cancel_ms=3000",
                "bounds.visible_ms=3000",
                "bounds.finish_s=14",
                "bounds.status_s=120",
                "bounds.remote_factor=2",
                "bounds.require_fencing=false",
                "control_mode=rpc",
                "platform.address=" + mStore.address(),
                "platform.form=kv",
                "platform.writes_per_s=400",
                "platform.reads_per_s=2000",
                "platform.history_s=20",
                "platform.value_bytes=1048576",
                "platform.min_ttl_ms=1000",
                "");
    }

    @Override
    public void close() {
        for (Instance instance : mInstances) {
            if (instance.mProcess != null) {
                instance.mProcess.destroyForcibly();
            }
        }
        for (Instance instance : mInstances) {
            try {
                if (instance.mProcess != null) {
                    instance.mProcess.waitFor(5, TimeUnit.SECONDS);
                }
            } catch (InterruptedException stopped) {
                return;
            }
        }
        if (System.getenv("KEEP_LOGS") != null) {
            System.out.println("logs in " + mFolder);
            return;
        }
        try (var files = Files.walk(mFolder)) {
            files.sorted(Comparator.reverseOrder()).map(Path::toFile).forEach(File::delete);
        } catch (Exception kept) {
            // The folder is a temporary one.
        }
    }
}
