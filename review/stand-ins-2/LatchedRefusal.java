package org.wagtailproxy.adapter;

import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;

/**
 * Hands in stored jobs at a steady, low rate, kills all instances while a few backend servers are
 * slow for some seconds, and counts the jobs that are accepted long after both.
 */
final class LatchedRefusal {

    private static final int INSTANCES = 8;
    private static final int ZONES = 4;
    private static final int SERVERS = 32;

    /** 5 of 32 are a share of 0.156. */
    private static final int SLOW_SERVERS = 5;

    private static final double SLOWNESS = 6.5;
    private static final long SLOW_MILLIS = 7000;
    private static final long DOWN_MILLIS = 1000;
    private static final long RECOVERY_MILLIS = 12_000;
    private static final long BEFORE_MILLIS = 12_000;
    private static final long AFTER_MILLIS = 25_000;
    private static final int JOBS_PER_SECOND = 1;

    private LatchedRefusal() {}

    private record Request(long sentMillis, CompletableFuture<CaseFleet.Reply> reply) {}

    public static void main(String[] arguments) throws Exception {
        boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        int status = 2;
        Judge judge = new Judge(true);
        try (CaseFleet fleet = new CaseFleet(Path.of(arguments[0]), judge)) {
            judge.setFleet(fleet);
            status = run(fleet, trouble);
        } catch (IOException | RuntimeException failure) {
            failure.printStackTrace();
        }
        System.exit(status);
    }

    private static int run(CaseFleet fleet, boolean trouble)
            throws IOException, InterruptedException {
        fleet.putConfiguration(3, 1.6, 3);
        fleet.addServers(SERVERS, ZONES);
        for (int index = 0; index < INSTANCES; index++) {
            fleet.addInstance(ZONES);
        }
        fleet.awaitLeader(40_000);
        TimeUnit.MILLISECONDS.sleep(3000);
        List<Request> requests = new ArrayList<>();
        var load =
                fleet.timer()
                        .scheduleAtFixedRate(
                                () -> send(fleet, requests),
                                0,
                                1_000_000 / JOBS_PER_SECOND,
                                TimeUnit.MICROSECONDS);
        TimeUnit.MILLISECONDS.sleep(BEFORE_MILLIS);
        long faultMillis = fleet.now();
        if (trouble) {
            fleet.note(SLOW_SERVERS + " of " + SERVERS + " servers turn slow, x " + SLOWNESS);
            fleet.mServers.stream()
                    .sorted(Comparator.comparing(CaseServer::id))
                    .limit(SLOW_SERVERS)
                    .forEach(each -> each.setSlowness(SLOWNESS));
        }
        if (trouble) {
            for (CaseFleet.Instance instance : fleet.mInstances) {
                fleet.signal(instance, "KILL");
            }
            TimeUnit.MILLISECONDS.sleep(DOWN_MILLIS);
            for (CaseFleet.Instance instance : fleet.mInstances) {
                fleet.start(instance);
            }
        }
        long backMillis = fleet.now();
        TimeUnit.MILLISECONDS.sleep(Math.max(0, faultMillis + SLOW_MILLIS - fleet.now()));
        if (trouble) {
            fleet.note("the slow servers are as fast as before");
            fleet.mServers.forEach(each -> each.setSlowness(1));
        }
        TimeUnit.MILLISECONDS.sleep(
                Math.max(0, backMillis + RECOVERY_MILLIS + AFTER_MILLIS - fleet.now()));
        load.cancel(false);
        TimeUnit.MILLISECONDS.sleep(3000);
        List<Request> all;
        synchronized (requests) {
            all = List.copyOf(requests);
        }
        double before = served(fleet, all, 0, faultMillis - 1500);
        double after = served(fleet, all, backMillis + RECOVERY_MILLIS, Long.MAX_VALUE);
        fleet.note("served before the final fault: " + before + ", after recovery_s: " + after);
        System.out.println("served before " + before + " after " + after);
        if (before < 0.25) {
            return 2;
        }
        return after < 0.25 ? 1 : 0;
    }

    private static double served(CaseFleet fleet, List<Request> all, long from, long to) {
        int sent = 0;
        int served = 0;
        Map<Integer, Integer> answers = new TreeMap<>();
        for (Request request : all) {
            if (request.sentMillis() >= from && request.sentMillis() < to) {
                int status =
                        request.reply().getNow(new CaseFleet.Reply(0, "no answer")).status();
                sent++;
                served += status == 200 ? 1 : 0;
                answers.merge(status, 1, Integer::sum);
            }
        }
        fleet.note("requests sent from " + from + " ms on: answers " + answers);
        return sent == 0 ? 0 : (double) served / sent;
    }

    private static void send(CaseFleet fleet, List<Request> requests) {
        String job = String.format("%016x", fleet.mRandom.nextLong());
        CaseFleet.Instance to =
                fleet.mInstances.get(fleet.mRandom.nextInt(fleet.mInstances.size()));
        String body =
                "{\"spec\":\"ms=60\",\"phases\":[{\"replicas\":2,\"cpu\":14000,\"mem_mb\":64,"
                        + "\"estimate_ms\":60}]}";
        CompletableFuture<CaseFleet.Reply> reply =
                fleet.call("POST", to.front(), "/q/" + job, body, 1500, 2000);
        synchronized (requests) {
            requests.add(new Request(fleet.now(), reply));
        }
        reply.thenAccept(
                answer ->
                        fleet.note("POST " + job + " at " + to.name() + " -> " + answer.status()));
    }
}
