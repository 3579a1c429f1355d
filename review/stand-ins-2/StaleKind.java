package org.wagtailproxy.adapter;

import java.io.IOException;
import java.nio.file.Path;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.ConcurrentSkipListMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Lets backend servers crash and start again under their ids as another kind, under a load of tasks
 * that may run on the first kind only, and looks for such tasks on servers of the other kind.
 */
final class StaleKind {

    private static final int INSTANCES = 8;
    private static final int ZONES = 4;
    private static final int SERVERS = 32;

    /** 4 of 32 are a share of 0.125. */
    private static final int CRASHED = 4;

    private static final long DOWN_MILLIS = 2500;

    /** Number of times that servers crash, others each time. */
    private static final int ROUNDS = 2;

    private static final int JOBS_PER_SECOND = 40;

    private StaleKind() {}

    public static void main(String[] arguments) throws Exception {
        boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        int status = 2;
        AtomicInteger wrong = new AtomicInteger();
        Map<String, CaseServer> servers = new HashMap<>();
        CaseFleet[] box = new CaseFleet[1];
        AtomicInteger starts = new AtomicInteger();
        CaseServer.Record record =
                new CaseServer.Record() {
                    @Override
                    public void started(String server, String task, int attempt, String spec) {
                        starts.incrementAndGet();
                        String kind = servers.get(server).kind();
                        if (!spec.contains("kind=" + kind)) {
                            wrong.incrementAndGet();
                            box[0].note(
                                    "ROUTE: "
                                            + server
                                            + ", which has the label "
                                            + kind
                                            + ", starts "
                                            + task
                                            + " run "
                                            + attempt
                                            + " of a step with the constraint a");
                        }
                    }

                    @Override
                    public void ended(String server, String task, int attempt, String how) {}

                    @Override
                    public void noted(String server, String task, int attempt, String how) {}
                };
        try (CaseFleet fleet = new CaseFleet(Path.of(arguments[0]), record)) {
            box[0] = fleet;
            status = run(fleet, servers, starts, wrong, trouble);
        } catch (IOException | RuntimeException failure) {
            failure.printStackTrace();
        }
        System.exit(status);
    }

    private static int run(
            CaseFleet fleet,
            Map<String, CaseServer> servers,
            AtomicInteger starts,
            AtomicInteger wrong,
            boolean trouble)
            throws IOException, InterruptedException {
        fleet.putConfiguration(3, 1.6, 3);
        fleet.addServers(SERVERS, ZONES);
        for (int index = 0; index < SERVERS; index++) {
            CaseServer server = fleet.mServers.get(index);
            servers.put(server.id(), server.ofKind(index % 2 == 0 ? "a" : "b"));
            fleet.register(server, "zone-" + index % ZONES);
        }
        for (int index = 0; index < INSTANCES; index++) {
            fleet.addInstance(ZONES);
        }
        fleet.awaitLeader(40_000);
        TimeUnit.MILLISECONDS.sleep(4000);
        Map<Integer, AtomicInteger> answers = new ConcurrentSkipListMap<>();
        var load =
                fleet.timer()
                        .scheduleAtFixedRate(
                                () -> {
                                    String job = String.format("%016x", fleet.mRandom.nextLong());
                                    CaseFleet.Instance to =
                                            fleet.mInstances.get(
                                                    fleet.mRandom.nextInt(INSTANCES));
                                    String body =
                                            "{\"spec\":\"ms=200 kind=a\",\"best_effort\":true,"
                                                    + "\"phases\":[{\"replicas\":2,\"cpu\":14000,"
                                                    + "\"mem_mb\":64,\"estimate_ms\":200,"
                                                    + "\"constraints\":\"a\"}]}";
                                    fleet.call("POST", to.front(), "/q/" + job, body, 1500, 2500)
                                            .thenAccept(
                                                    reply ->
                                                            count(answers, reply.status()));
                                },
                                0,
                                1_000_000 / JOBS_PER_SECOND,
                                TimeUnit.MICROSECONDS);
        TimeUnit.MILLISECONDS.sleep(8000);
        for (int round = 0; round < ROUNDS; round++) {
            if (trouble) {
                crashAndRestart(fleet, 2 * CRASHED * round);
            }
            TimeUnit.MILLISECONDS.sleep(8000);
        }
        load.cancel(false);
        TimeUnit.MILLISECONDS.sleep(2000);
        fleet.note("answers " + answers + ", starts " + starts + ", on the wrong kind " + wrong);
        System.out.println("answers " + answers + ", starts " + starts + ", wrong " + wrong);
        return wrong.get() > 0 ? 1 : starts.get() > 100 ? 0 : 2;
    }

    private static void count(Map<Integer, AtomicInteger> answers, int status) {
        answers.computeIfAbsent(status, key -> new AtomicInteger()).incrementAndGet();
    }

    /** Crashes servers of kind a from an index on, and starts them again as kind b. */
    private static void crashAndRestart(CaseFleet fleet, int first) throws InterruptedException {
        for (int index = first; index < first + 2 * CRASHED; index += 2) {
            CaseServer server = fleet.mServers.get(index);
            server.crash();
            fleet.note(server.id() + " crashes");
        }
        TimeUnit.MILLISECONDS.sleep(DOWN_MILLIS);
        for (int index = first; index < first + 2 * CRASHED; index += 2) {
            CaseServer server = fleet.mServers.get(index);
            server.restart("b");
            fleet.register(server, "zone-" + index % ZONES);
            fleet.note(server.id() + " starts again as kind b and has registered so");
        }
    }
}
