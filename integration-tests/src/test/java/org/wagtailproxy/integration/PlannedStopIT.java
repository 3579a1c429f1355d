package org.wagtailproxy.integration;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.is;

import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.wagtailproxy.integration.Caller.Answer;
import org.wagtailproxy.integration.Cluster.Entry;

/**
 * Guards against a planned stop that breaks requests in flight, starts tasks twice, or after which
 * the remembered ends of jobs can no longer be queried because they were not handed over to another
 * instance.
 */
class PlannedStopIT {

    @Test
    void testStopFinishesWhatIsInFlightAndHandsItsEndsOver() throws Exception {
        try (Cluster cluster = Cluster.start(1, 3, 1, 1)) {
            Entry home = cluster.entry(0);
            String session = cluster.caller().fetchSession(home);
            String before = session + ".before";
            String during = session + ".during";
            cluster.caller().submit(home, before, Caller.jobDocument(20, 1));
            assertThat(cluster.caller().awaitEnd(home, before, 10).state(), is("complete"));
            cluster.caller().submit(home, during, Caller.jobDocument(40, 400));
            cluster.putInInstanceList(home, true);
            home.process().terminate();
            Answer end = cluster.caller().awaitEnd(cluster.entry(1), during, 30);
            assertThat(end.state(), is("complete"));
            assertThat(Caller.findWrongAnswer(end.body(), 40, 400), is(Optional.empty()));
            assertThat(home.process().awaitExit(30), is(0));
            cluster.removeFromInstanceList(home);
            for (String name : List.of(before, during)) {
                Answer later = cluster.caller().awaitEnd(cluster.entry(2), name, 10);
                assertThat(later.state(), is("complete"));
            }
            String after = session + ".after";
            cluster.caller().submit(cluster.entry(1), after, Caller.jobDocument(5, 1));
            assertThat(
                    cluster.caller().awaitEnd(cluster.entry(2), after, 10).state(), is("complete"));
            assertThat(cluster.startRecorder().startedTwice(), is(empty()));
        }
    }

    @Test
    void testRollingRestartUnderLoadLosesAndDoublesNothing() throws Exception {
        try (Cluster cluster = Cluster.start(2, 2, 1, 2);
                ClosedLoopLoad load = ClosedLoopLoad.start(cluster, 6, 20, 30)) {
            for (Entry entry : cluster.entries()) {
                Await.until("work flows", 20, () -> load.completedJobs() > 10);
                cluster.putInInstanceList(entry, true);
                entry.process().terminate();
                assertThat(entry + " exits", entry.process().awaitExit(60), is(0));
                entry.process().start();
                cluster.putInInstanceList(entry, false);
                cluster.awaitReady(entry);
                Thread.sleep(500);
            }
            load.finish();
            String problems = load.problems().toString();
            assertThat(problems, load.failedJobs(), is(0));
            assertThat(problems, load.jobsWithWrongAnswers(), is(0));
            assertThat(problems, load.refusedJobs(), is(0));
            assertThat(problems, load.callsWithoutAnswer(), is(0));
            assertThat(load.completedJobs(), greaterThan(50));
            assertThat(cluster.startRecorder().startedTwice(), is(empty()));
            for (String name : load.acceptedJobs()) {
                Answer end = cluster.caller().awaitEnd(cluster.entry(0), name, 20);
                assertThat(name, end.state(), is("complete"));
            }
        }
    }

    @Test
    void testStopWhileThePlatformIsDownStillHandsOver() throws Exception {
        try (Cluster cluster = Cluster.start(1, 3, 1, 1)) {
            Entry home = cluster.entry(0);
            String name = cluster.caller().fetchSession(home) + ".outage";
            cluster.caller().submit(home, name, Caller.jobDocument(20, 5));
            cluster.caller().awaitEnd(home, name, 10);
            cluster.platform().setDown(true);
            home.process().terminate();
            assertThat(home.process().awaitExit(30), is(0));
            assertThat(
                    cluster.caller().awaitEnd(cluster.entry(2), name, 10).state(), is("complete"));
            assertThat(cluster.startRecorder().startedTwice(), is(empty()));
        }
    }
}
