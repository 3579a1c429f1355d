package org.wagtailproxy.adapter;

import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;

/**
 * Cancels jobs while the instance that their clients are connected to stands still, and looks for
 * tasks that are started more than cancel_ms after the cancelling was acknowledged.
 */
final class ForgottenCancel {

    private static final int INSTANCES = 8;
    private static final int ZONES = 4;
    private static final int SERVERS = 16;
    private static final int JOBS = 4;
    private static final long FREEZE_MILLIS = 3400;

    /** Times after the start of the freeze; at each of them half of the jobs are cancelled. */
    private static final List<Long> CANCEL_AFTER_MILLIS = List.of(250L, 2300L);

    private static final long CANCEL_MILLIS = 3000;
    private static final long CLIENT_MILLIS = 20_000;

    private ForgottenCancel() {}

    private record Start(long millis, String task) {}

    public static void main(String[] arguments) throws Exception {
        boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        int status = 2;
        List<Start> starts = new ArrayList<>();
        CaseFleet[] box = new CaseFleet[1];
        CaseServer.Record record =
                new CaseServer.Record() {
                    @Override
                    public void started(String server, String task, int attempt, String spec) {
                        synchronized (starts) {
                            starts.add(new Start(box[0].now(), task));
                        }
                        box[0].note(server + " starts " + task + " run " + attempt);
                    }

                    @Override
                    public void ended(String server, String task, int attempt, String how) {
                        box[0].note(server + " ends " + task + " run " + attempt + " " + how);
                    }

                    @Override
                    public void noted(String server, String task, int attempt, String how) {}
                };
        try (CaseFleet fleet = new CaseFleet(Path.of(arguments[0]), record)) {
            box[0] = fleet;
            status = run(fleet, starts, trouble);
        } catch (IOException | RuntimeException failure) {
            failure.printStackTrace();
        }
        System.exit(status);
    }

    private static int run(CaseFleet fleet, List<Start> starts, boolean trouble)
            throws IOException, InterruptedException {
        fleet.putConfiguration(3, 1.6, 3);
        fleet.addServers(SERVERS, ZONES);
        for (int index = 0; index < INSTANCES; index++) {
            fleet.addInstance(ZONES);
        }
        CaseFleet.Instance leader = fleet.awaitLeader(40_000);
        TimeUnit.MILLISECONDS.sleep(4000);
        CaseFleet.Instance home = null;
        CaseFleet.Instance other = null;
        for (CaseFleet.Instance instance : fleet.mInstances) {
            if (instance != leader) {
                other = home == null ? other : instance;
                home = home == null ? instance : home;
            }
        }
        List<String> jobs = new ArrayList<>();
        List<CompletableFuture<CaseFleet.Reply>> answers = new ArrayList<>();
        for (int index = 0; index < JOBS; index++) {
            String job = String.format("%016x", fleet.mRandom.nextLong());
            jobs.add(job);
            String step = "{\"replicas\":4,\"cpu\":2000,\"mem_mb\":64,\"estimate_ms\":2500";
            String body =
                    "{\"spec\":\"ms=2500\",\"best_effort\":true,\"phases\":["
                            + step
                            + "},"
                            + step
                            + ",\"after\":[0]}]}";
            fleet.note("POST " + job + " to " + home.name());
            answers.add(
                    fleet.call(
                            "POST", home.front(), "/q/" + job, body, CLIENT_MILLIS, CLIENT_MILLIS));
            CaseFleet.Instance to = home;
            answers.get(index)
                    .thenAccept(
                            reply ->
                                    fleet.note(
                                            "POST " + job + " at " + to.name() + " -> " + reply));
        }
        TimeUnit.MILLISECONDS.sleep(500);
        if (trouble) {
            fleet.signal(home, "STOP");
        }
        long frozen = fleet.now();
        List<Long> acknowledged = new ArrayList<>();
        for (int index = 0; index < JOBS; index++) {
            long cancelAfter = CANCEL_AFTER_MILLIS.get(index * CANCEL_AFTER_MILLIS.size() / JOBS);
            TimeUnit.MILLISECONDS.sleep(Math.max(0, frozen + cancelAfter - fleet.now()));
            String job = jobs.get(index);
            CaseFleet.Reply reply =
                    fleet.call("DELETE", other.front(), "/q/" + job, "", 3000, 3000).join();
            fleet.note("DELETE " + job + " at " + other.name() + " -> " + reply.status());
            boolean acked = reply.status() / 100 == 2 || reply.status() == 410;
            acknowledged.add(acked ? fleet.now() : Long.MAX_VALUE / 2);
        }
        TimeUnit.MILLISECONDS.sleep(Math.max(0, frozen + FREEZE_MILLIS - fleet.now()));
        if (trouble) {
            fleet.signal(home, "CONT");
        }
        TimeUnit.MILLISECONDS.sleep(14_000);
        int late = 0;
        synchronized (starts) {
            for (Start start : starts) {
                int job = jobs.indexOf(start.task().substring(0, 16));
                if (start.millis() > acknowledged.get(job) + CANCEL_MILLIS) {
                    late++;
                    fleet.note(
                            "UNASKED: "
                                    + start.task()
                                    + " started "
                                    + (start.millis() - acknowledged.get(job))
                                    + " ms after the acknowledgement of its cancelling");
                }
            }
        }
        fleet.note(late + " starts later than cancel_ms after an acknowledged cancelling");
        System.out.println(late + " late starts");
        boolean allAcknowledged = acknowledged.stream().allMatch(at -> at < Long.MAX_VALUE / 2);
        return late > 0 ? 1 : allAcknowledged ? 0 : 2;
    }
}
