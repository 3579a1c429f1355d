package org.wagtailproxy.integration;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.not;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.wagtailproxy.integration.Caller.Answer;
import org.wagtailproxy.integration.Cluster.Entry;

/**
 * Guards against refusals that report that nothing was executed although tasks of the job started:
 * under overload, beyond a quota, during a planned stop, on invalid input, or for a service without
 * backend servers.
 */
class TrueRefusalIT {

    @Test
    void testRefusalsUnderOverloadStartNothing() throws Exception {
        try (Cluster cluster = Cluster.start(1, 2, 4)) {
            redeclare(cluster, "service", Cluster.SERVICE, "{\"queueLimit\": 150}");
            List<String> refused = refusedOf(cluster, "overload", 12, Caller.jobDocument(50, 20));
            assertThat(refused.size(), greaterThan(0));
            assertNothingStarted(cluster, refused);
        }
    }

    @Test
    void testRefusalsForTheQuotaStartNothing() throws Exception {
        try (Cluster cluster = Cluster.start(1, 2, 1)) {
            redeclare(cluster, "team", Cluster.TEAM, "{\"quota\": 4, \"queueLimit\": 60}");
            List<String> refused = refusedOf(cluster, "quota", 6, Caller.jobDocument(50, 20));
            assertThat(refused.size(), greaterThan(0));
            assertNothingStarted(cluster, refused);
        }
    }

    @Test
    void testRefusalsDuringADrainStartNothing() throws Exception {
        try (Cluster cluster = Cluster.start(1, 1, 1)) {
            Entry home = cluster.entry(0);
            String session = cluster.caller().fetchSession(home);
            String acceptedJob = session + ".last";
            cluster.caller().submit(home, acceptedJob, Caller.jobDocument(20, 2000));
            home.process().terminate();
            Thread.sleep(300);
            String lateJob = session + ".late";
            Answer answer = cluster.caller().submit(home, lateJob, Caller.jobDocument(5, 1));
            assertThat(answer.problemType(), is("draining"));
            assertThat(answer.executed(), is("no"));
            assertThat(home.process().awaitExit(40), is(0));
            assertNothingStarted(cluster, List.of(lateJob));
            assertThat(cluster.startRecorder().startsOf(acceptedJob).size(), is(20));
        }
    }

    @Test
    void testBadInputIsRefusedWithATypeAndStartsNothing() throws Exception {
        try (Cluster cluster = Cluster.start(1, 1, 1)) {
            Entry entry = cluster.entry(0);
            String session = cluster.caller().fetchSession(entry);
            String unknownService = Caller.jobDocument(1, 1).replace(Cluster.SERVICE, "nosuch");
            String unknownTeam = Caller.jobDocument(1, 1).replace(Cluster.TEAM, "nosuch");
            String overlongTask =
                    Caller.jobDocument(1, 1).replace("Milliseconds\":1", "Milliseconds\":99999");
            String unknownSession = "0".repeat(32) + ".0";
            expect(cluster, session + ".a", "{\"service\":", "malformed-request", "no");
            expect(cluster, session + ".b", Caller.jobDocument(941, 1), "too-many-tasks", "no");
            expect(cluster, session + ".c", unknownService, "unknown-service", "no");
            expect(cluster, session + ".d", unknownTeam, "unknown-team", "no");
            expect(cluster, session + ".e", overlongTask, "never-runnable", "no");
            expect(cluster, session + "9.f", Caller.jobDocument(1, 1), "wrong-session", "no");
            expect(
                    cluster,
                    unknownSession + ".g",
                    Caller.jobDocument(1, 1),
                    "home-unreachable",
                    "unknown");
            expect(cluster, session + ".h", "x".repeat(4_100_000), "body-too-large", "no");
            expect(cluster, session + ".i%2F", Caller.jobDocument(1, 1), "malformed-request", "no");
            assertThat(cluster.startRecorder().startedTaskCount(), is(0));
            cluster.caller().submit(entry, session + ".j", Caller.jobDocument(1, 1));
            expect(cluster, session + ".j", Caller.jobDocument(2, 1), "name-conflict", "no");
        }
    }

    @Test
    void testServiceWithoutBackendServersRefusesAtOnce() throws Exception {
        try (Cluster cluster = Cluster.start(1, 1)) {
            Entry entry = cluster.entry(0);
            String name = cluster.caller().fetchSession(entry) + ".none";
            expect(cluster, name, Caller.jobDocument(1, 1), "no-backend-server", "no");
        }
    }

    private static void expect(
            Cluster cluster, String name, String body, String type, String executed)
            throws Exception {
        Answer answer = cluster.caller().submit(cluster.entry(0), name, body);
        assertThat(answer.toString(), answer.problemType(), is(type));
        assertThat(answer.executed(), is(executed));
        assertThat(answer.body().toString().contains("Exception"), is(false));
    }

    static void redeclare(Cluster cluster, String kind, String name, String spec) throws Exception {
        Entry entry = cluster.entry(0);
        String path = "/v1/resources/" + kind + "/" + name;
        long version =
                cluster.caller()
                        .send(entry, "GET", path, "")
                        .body()
                        .path("resourceVersion")
                        .asLong();
        Answer answer =
                cluster.caller().send(entry, "PUT", path + "?resourceVersion=" + version, spec);
        assertThat(answer.toString(), answer.status(), is(200));
        long accepted = answer.body().path("resourceVersion").asLong();
        for (Entry instance : cluster.entries()) {
            Await.until(
                    "the new version is in force on " + instance,
                    13,
                    () ->
                            cluster.caller().activeVersions(instance).get(kind + "/" + name)
                                    >= accepted);
        }
    }

    private static List<String> refusedOf(Cluster cluster, String prefix, int jobs, String body)
            throws Exception {
        String session = cluster.caller().fetchSession(cluster.entry(0));
        List<String> refused = new ArrayList<>();
        List<String> accepted = new ArrayList<>();
        for (int index = 0; index < jobs; index++) {
            String name = session + "." + prefix + index;
            Answer answer = cluster.caller().submit(cluster.entry(1), name, body);
            if (answer.executed().equals("no")) {
                refused.add(name);
            } else {
                accepted.add(name);
            }
        }
        for (String name : accepted) {
            cluster.caller().awaitEnd(cluster.entry(0), name, 60);
        }
        assertThat(accepted, is(not(empty())));
        return refused;
    }

    private static void assertNothingStarted(Cluster cluster, List<String> names) {
        for (String name : names) {
            assertThat(cluster.startRecorder().startsOf(name), is(Map.of()));
        }
    }
}
