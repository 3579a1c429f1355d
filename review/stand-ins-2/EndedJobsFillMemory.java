package org.wagtailproxy.adapter;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentSkipListMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Hands in stored jobs with long specs at the rate of a site, and asks for all accepted ones after
 * finish_s.
 */
final class EndedJobsFillMemory {

    private static final int INSTANCES = 8;
    private static final int ZONES = 4;
    private static final int SERVERS = 32;
    private static final int JOBS_PER_SECOND = 98;
    private static final int TASKS = 4;
    private static final int MAX_SPEC_BYTES = 4000;
    private static final int MEAN_SPEC_BYTES = 250;

    /** Above that of the sites, so that no job is refused as its tasks took long. */
    private static final double SLACK_FACTOR = 20;

    private static final long LOAD_MILLIS = 84_000;

    /** Time since the start of the case after which nothing is sent, as the case has to end. */
    private static final long LAST_SEND_MILLIS = 93_000;

    private static final long FINISH_MILLIS = 14_000;

    /** Time for which a client waits for the state of its job. */
    private static final long QUERY_MILLIS = 5000;

    private EndedJobsFillMemory() {}

    public static void main(String[] arguments) throws Exception {
        boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        int status = 2;
        Judge judge = new Judge(false);
        try (CaseFleet fleet = new CaseFleet(Path.of(arguments[0]), judge)) {
            judge.setFleet(fleet);
            status = run(fleet, judge, trouble);
        } catch (IOException | RuntimeException failure) {
            failure.printStackTrace();
        }
        System.exit(status);
    }

    /** Returns a text of a number of bytes in UTF-8, one of whose characters is a dash. */
    private static String spec(int bytes) {
        String words = "ms=60 \u2013 ";
        int rest = bytes - words.getBytes(StandardCharsets.UTF_8).length;
        return words + "x".repeat(rest);
    }

    private static int run(CaseFleet fleet, Judge judge, boolean trouble)
            throws IOException, InterruptedException {
        fleet.putConfiguration(3, SLACK_FACTOR, 3);
        fleet.addServers(SERVERS, ZONES);
        for (int index = 0; index < INSTANCES; index++) {
            fleet.addInstance(ZONES);
        }
        fleet.awaitLeader(40_000);
        TimeUnit.MILLISECONDS.sleep(1500);
        String spec = spec(trouble ? MAX_SPEC_BYTES : MEAN_SPEC_BYTES);
        String body =
                "{\"spec\":\""
                        + spec
                        + "\",\"phases\":[{\"replicas\":"
                        + TASKS
                        + ",\"cpu\":4000,\"mem_mb\":64,\"estimate_ms\":60}]}";
        Map<String, AtomicInteger> answers = new ConcurrentSkipListMap<>();
        List<String> accepted = new ArrayList<>();
        AtomicInteger sent = new AtomicInteger();
        fleet.note("load of " + JOBS_PER_SECOND + " jobs a second, specs of " + spec.length());
        Runnable send =
                () -> {
                    String job = String.format("%016x", fleet.mRandom.nextLong());
                    CaseFleet.Instance to =
                            fleet.mInstances.get(sent.getAndIncrement() % INSTANCES);
                    fleet.call("POST", to.front(), "/q/" + job, body, 1500, 2500)
                            .thenAccept(
                                    reply -> {
                                        answers.computeIfAbsent(
                                                        "" + reply.status(),
                                                        key -> new AtomicInteger())
                                                .incrementAndGet();
                                        if (reply.status() == 200) {
                                            synchronized (accepted) {
                                                accepted.add(job);
                                            }
                                        }
                                    });
                };
        for (int index = 0; index < JOBS_PER_SECOND; index++) {
            send.run();
            TimeUnit.MILLISECONDS.sleep(20);
        }
        var load =
                fleet.timer()
                        .scheduleAtFixedRate(
                                send, 0, 1_000_000 / JOBS_PER_SECOND, TimeUnit.MICROSECONDS);
        long end = Math.min(fleet.now() + LOAD_MILLIS, LAST_SEND_MILLIS);
        while (fleet.now() < end) {
            TimeUnit.MILLISECONDS.sleep(Math.min(5000, Math.max(1, end - fleet.now())));
            fleet.note("answers so far " + answers + ", starts " + judge.mStarts);
        }
        load.cancel(false);
        fleet.note("end of the traffic");
        TimeUnit.MILLISECONDS.sleep(FINISH_MILLIS);
        List<String> all;
        synchronized (accepted) {
            all = List.copyOf(accepted);
        }
        List<String> asked = new ArrayList<>();
        for (String job : all) {
            if (judge.doneTasks(job) < TASKS) {
                asked.add(job);
            }
        }
        fleet.note(
                all.size() + " accepted, " + asked.size() + " of them with a task that isn't done");
        for (int index = 0; index < all.size(); index += Math.max(1, all.size() / 30)) {
            asked.add(all.get(index));
        }
        Map<String, Integer> states = new TreeMap<>();
        Map<String, Boolean> lost = new HashMap<>();
        Map<String, CompletableFuture<CaseFleet.Reply>> replies = new LinkedHashMap<>();
        for (String job : asked) {
            CaseFleet.Instance to = fleet.mInstances.get(replies.size() % INSTANCES);
            replies.put(
                    job,
                    fleet.call("GET", to.front(), "/q/" + job, "", QUERY_MILLIS, QUERY_MILLIS));
        }
        for (String job : replies.keySet()) {
            CaseFleet.Reply reply = replies.get(job).join();
            String state = reply.status() == 200 ? reply.body() : "" + reply.status();
            states.merge(state, 1, Integer::sum);
            if (!state.contains("completed")) {
                lost.put(job, true);
                fleet.note(
                        "LOST: accepted job "
                                + job
                                + ", done tasks "
                                + judge.doneTasks(job)
                                + " of "
                                + TASKS
                                + ", finish_s after the end of the traffic: "
                                + (reply.status() == 0 ? "no answer in time" : state));
            }
        }
        fleet.note("states of " + asked.size() + " accepted jobs: " + states);
        fleet.note("answers " + answers);
        System.out.println("answers " + answers + " states " + states + " lost " + lost.size());
        return !lost.isEmpty() ? 1 : all.size() > 1000 ? 0 : 2;
    }
}
