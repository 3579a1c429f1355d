package org.wagtailproxy.integration;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.greaterThanOrEqualTo;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;
import static org.hamcrest.Matchers.not;

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
import org.wagtailproxy.integration.Cluster.Entry;
import org.wagtailproxy.integration.FaultProxy.Fault;

/**
 * Guards against tasks that start twice when the same job is submitted several times: to several
 * instances at once, after a crash or pause of its home instance, across a network partition, after
 * a lost answer of the store, during an outage of the platform, or when its window is forgotten.
 */
class StartsOnceIT {

    private static final int TASKS = 250;

    @Test
    void testSameJobPutToEveryInstanceAtOnceStartsOnce() throws Exception {
        try (Cluster cluster = Cluster.start(2, 2, 1, 1, 2, 4)) {
            String session = cluster.caller().fetchSession(cluster.entry(0));
            List<String> names = names(session, "burst", 40);
            for (String name : names) {
                submitEverywhere(cluster, name, Caller.jobDocument(TASKS, 1));
            }
            for (String name : names) {
                Answer end = cluster.caller().awaitEnd(cluster.entry(2), name, 60);
                assertThat(end.toString(), end.state(), is("complete"));
            }
            for (String name : names) {
                submitEverywhere(cluster, name, Caller.jobDocument(TASKS, 1));
            }
            assertThat(cluster.startRecorder().startedTaskCount(), greaterThanOrEqualTo(10_000));
            assertThat(cluster.startRecorder().startedTwice(), is(empty()));
        }
    }

    @Test
    void testResubmissionAfterCrashOfTheHomeStartsNothingAgain() throws Exception {
        try (Cluster cluster = Cluster.start(1, 3, 1, 1)) {
            Entry home = cluster.entry(0);
            List<String> names = names(cluster.caller().fetchSession(home), "crash", 6);
            for (String name : names) {
                cluster.caller().submit(cluster.entry(1), name, Caller.jobDocument(TASKS, 20));
            }
            home.process().kill();
            for (String name : names) {
                submitTo(cluster.entry(1), name);
                submitTo(cluster.entry(2), name);
            }
            home.process().start();
            cluster.awaitReady();
            for (String name : names) {
                submitEverywhere(cluster, name, Caller.jobDocument(TASKS, 20));
                assertThat(cluster.caller().awaitEnd(home, name, 30).state(), is("failed"));
            }
            Thread.sleep(1000);
            assertThat(cluster.startRecorder().startedTwice(), is(empty()));
        }
    }

    @Test
    void testResubmissionWhileTheHomeIsPausedStartsNothingAgain() throws Exception {
        try (Cluster cluster = Cluster.start(1, 3, 1, 1)) {
            Entry home = cluster.entry(0);
            List<String> names = names(cluster.caller().fetchSession(home), "pause", 6);
            for (String name : names) {
                cluster.caller().submit(home, name, Caller.jobDocument(TASKS, 20));
            }
            home.process().pause();
            cluster.removeFromInstanceList(home);
            for (String name : names) {
                submitTo(cluster.entry(1), name);
                assertThat(
                        cluster.caller().awaitEnd(cluster.entry(2), name, 30).state(),
                        is("failed"));
            }
            home.process().resume();
            Thread.sleep(2000);
            for (String name : names) {
                submitTo(cluster.entry(1), name);
            }
            assertThat(cluster.startRecorder().startedTwice(), is(empty()));
        }
    }

    @Test
    void testSubmissionOnTheOtherSideOfACutStartsOnce() throws Exception {
        try (Cluster cluster = Cluster.start(2, 2, 1, 1)) {
            Entry home = cluster.entry(0);
            Entry remoteEntry = cluster.entry(2);
            List<String> names = names(cluster.caller().fetchSession(home), "cut", 4);
            cluster.caller().submit(home, names.get(0), Caller.jobDocument(TASKS, 5));
            cluster.setFaultBetween(1, 2, Fault.CUT);
            for (String name : names) {
                Answer answer =
                        cluster.caller().submit(remoteEntry, name, Caller.jobDocument(TASKS, 5));
                assertThat(answer.problemType(), is("home-unreachable"));
                assertThat(answer.executed(), is("unknown"));
                cluster.caller().submit(home, name, Caller.jobDocument(TASKS, 5));
            }
            cluster.setFaultBetween(1, 2, Fault.NONE);
            for (String name : names) {
                cluster.caller().submit(remoteEntry, name, Caller.jobDocument(TASKS, 5));
                assertThat(
                        cluster.caller().awaitEnd(remoteEntry, name, 30).state(), is("complete"));
            }
            assertThat(cluster.startRecorder().startedTwice(), is(empty()));
        }
    }

    @Test
    void testNamesWithoutASessionStartOnceThoughTheAnswerToTheClaimIsLost() throws Exception {
        try (Cluster cluster = Cluster.start(2, 2, 1, 1)) {
            for (String name : List.of("claimed-1", "claimed-2", "claimed-3")) {
                cluster.platform().loseWriteAnswers(2);
                submitEverywhere(cluster, name, Caller.jobDocument(TASKS, 1));
                submitEverywhere(cluster, name, Caller.jobDocument(TASKS, 1));
                Answer end = cluster.caller().awaitEnd(cluster.entry(3), name, 30);
                assertThat(end.state(), is("complete"));
            }
            assertThat(cluster.startRecorder().startedTaskCount(), is(3 * TASKS));
            assertThat(cluster.startRecorder().startedTwice(), is(empty()));
        }
    }

    @Test
    void testPlatformOutageStopsNoSessionAndStartsNothingTwice() throws Exception {
        try (Cluster cluster = Cluster.start(1, 2, 1, 1)) {
            String session = cluster.caller().fetchSession(cluster.entry(0));
            cluster.platform().setDown(true);
            for (String name : names(session, "outage", 4)) {
                submitEverywhere(cluster, name, Caller.jobDocument(TASKS, 1));
                Answer end = cluster.caller().awaitEnd(cluster.entry(1), name, 30);
                assertThat(end.state(), is("complete"));
            }
            Answer refused =
                    cluster.caller()
                            .submit(cluster.entry(0), "unclaimed", Caller.jobDocument(1, 1));
            assertThat(refused.problemType(), is("store-unavailable"));
            assertThat(cluster.startRecorder().startsOf("unclaimed").keySet(), is(empty()));
            assertThat(cluster.startRecorder().startedTwice(), is(empty()));
        }
    }

    @Test
    void testNameOfAForgottenWindowIsRefused() throws Exception {
        Map<String, String> settings = new TreeMap<>(Cluster.shortTimeoutSettings());
        settings.put("sessions.window", "500ms");
        settings.put("sessions.retained-windows", "3");
        try (Cluster cluster = Cluster.start(settings, 1, 2, 1)) {
            Entry home = cluster.entry(0);
            String name = cluster.caller().fetchSession(home) + ".old";
            cluster.caller().submit(home, name, Caller.jobDocument(5, 1));
            assertThat(cluster.caller().awaitEnd(home, name, 10).state(), is("complete"));
            Thread.sleep(3000);
            for (Entry entry : cluster.entries()) {
                Answer again = cluster.caller().submit(entry, name, Caller.jobDocument(5, 1));
                assertThat(again.problemType(), is("window-forgotten"));
                assertThat(again.executed(), is(not("no")));
            }
            assertThat(cluster.startRecorder().startedTwice(), is(empty()));
            assertThat(cluster.startRecorder().startedTaskCount(), lessThanOrEqualTo(5));
        }
    }

    private static List<String> names(String session, String prefix, int count) {
        List<String> names = new ArrayList<>();
        for (int index = 0; index < count; index++) {
            names.add(session + "." + prefix + index);
        }
        return names;
    }

    private static void submitTo(Entry entry, String name) throws Exception {
        new Caller().submit(entry, name, Caller.jobDocument(TASKS, 20));
    }

    private static void submitEverywhere(Cluster cluster, String name, String body)
            throws Exception {
        ExecutorService threads = Executors.newFixedThreadPool(cluster.entries().size());
        try {
            List<Callable<Answer>> calls = new ArrayList<>();
            for (Entry entry : cluster.entries()) {
                calls.add(() -> cluster.caller().submit(entry, name, body));
            }
            for (Future<Answer> answer : threads.invokeAll(calls)) {
                answer.get();
            }
        } finally {
            threads.shutdownNow();
        }
    }
}
