package org.wagtailproxy.integration;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.Callable;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import org.junit.jupiter.api.Test;
import org.wagtailproxy.integration.Caller.Answer;
import org.wagtailproxy.integration.FaultProxy.Fault;

/**
 * Guards against a request marked as non-idempotent that runs more than once. This happens if it is
 * retried after its connection broke or became unresponsive, although the backend server has
 * already started it. Also guards against refusals that wrongly report that nothing was executed,
 * and against unlimited retries of idempotent requests.
 */
class AtMostOnceIT {

    private static final int REQUESTS = 40;

    @Test
    void testConnectionsCutBeforeDuringAndAfterTheSend() throws Exception {
        try (Cluster cluster = shortTimeouts()) {
            List<Future<Answer>> answers = new ArrayList<>();
            ExecutorService threads = Executors.newFixedThreadPool(REQUESTS);
            for (int round = 0; round < 4; round++) {
                answers.addAll(send(threads, cluster, "false", "cut" + round));
                Thread.sleep(40);
                cluster.backends().forEach(backend -> backend.proxy().setFault(Fault.CUT));
                Thread.sleep(40);
                cluster.backends().forEach(backend -> backend.proxy().setFault(Fault.NONE));
            }
            assertAnsweredOrRefusedTruly(cluster, answers);
            threads.shutdownNow();
        }
    }

    @Test
    void testConnectionsThatGoSilentWithTheAnswerOutstanding() throws Exception {
        try (Cluster cluster = shortTimeouts()) {
            ExecutorService threads = Executors.newFixedThreadPool(REQUESTS);
            cluster.backends().forEach(backend -> backend.proxy().setFault(Fault.FREEZE_ANSWERS));
            List<Future<Answer>> answers = send(threads, cluster, "false", "silent");
            assertAnsweredOrRefusedTruly(cluster, answers);
            threads.shutdownNow();
        }
    }

    @Test
    void testIdleConnectionsThatWentSilentAreNotUsedAgain() throws Exception {
        try (Cluster cluster = shortTimeouts()) {
            ExecutorService threads = Executors.newFixedThreadPool(REQUESTS);
            assertAnsweredOrRefusedTruly(cluster, send(threads, cluster, "false", "warm"));
            cluster.backends().forEach(backend -> backend.proxy().setFault(Fault.FREEZE_OPEN));
            cluster.backends().forEach(backend -> backend.proxy().setFault("none", Fault.NONE));
            Thread.sleep(2500);
            cluster.backends().forEach(backend -> backend.proxy().setFault(Fault.NONE));
            for (Future<Answer> answer : send(threads, cluster, "false", "after")) {
                assertThat(answer.get().toString(), answer.get().status(), is(200));
            }
            assertThat(cluster.startRecorder().startedTwice(), is(empty()));
            threads.shutdownNow();
        }
    }

    @Test
    void testIdempotentRequestIsTriedAgainAFewTimesOnly() throws Exception {
        try (Cluster cluster = shortTimeouts()) {
            ExecutorService threads = Executors.newFixedThreadPool(REQUESTS);
            cluster.backends().get(0).proxy().setFault(Fault.FREEZE_ANSWERS);
            for (Future<Answer> answer : send(threads, cluster, "true", "idempotent")) {
                answer.get();
            }
            int starts =
                    cluster.backends().stream()
                            .mapToInt(backend -> backend.standIn().startedTasks())
                            .sum();
            assertThat(starts, lessThanOrEqualTo(3 * REQUESTS));
            threads.shutdownNow();
        }
    }

    private static Cluster shortTimeouts() throws Exception {
        Map<String, String> settings = new TreeMap<>(Cluster.shortTimeoutSettings());
        Cluster cluster = Cluster.start(settings, 1, 2, 1, 1, 1);
        TrueRefusalIT.redeclare(
                cluster, "service", Cluster.SERVICE, "{\"taskTimeoutMilliseconds\": 2000}");
        return cluster;
    }

    private static List<Future<Answer>> send(
            ExecutorService threads, Cluster cluster, String idempotent, String prefix) {
        List<Future<Answer>> answers = new ArrayList<>();
        for (int index = 0; index < REQUESTS; index++) {
            int number = index;
            Callable<Answer> call =
                    () ->
                            cluster.caller()
                                    .send(
                                            cluster.entry(number % 2),
                                            "POST",
                                            "/v1/requests/" + Cluster.SERVICE,
                                            "30:" + prefix + number,
                                            Map.of(
                                                    "Wagtail-Team",
                                                    Cluster.TEAM,
                                                    "Wagtail-Idempotent",
                                                    idempotent));
            answers.add(threads.submit(call));
        }
        return answers;
    }

    private static void assertAnsweredOrRefusedTruly(Cluster cluster, List<Future<Answer>> answers)
            throws Exception {
        int answered = 0;
        int unknown = 0;
        for (Future<Answer> future : answers) {
            Answer answer = future.get();
            if (answer.status() == 200) {
                answered++;
            } else if (!answer.executed().equals("no")) {
                unknown++;
            }
        }
        assertThat(cluster.startRecorder().startedTwice(), is(empty()));
        assertThat(
                "a refusal that says executed: no was executed",
                cluster.startRecorder().startedTaskCount(),
                lessThanOrEqualTo(answered + unknown));
    }
}
