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

/** A planned stop cuts off no request in flight, and what was remembered can still be asked for. */
class PlannedStopIT {

    @Test
    void testStopFinishesWhatIsInFlightAndHandsItsEndsOver() throws Exception {
        try (Cluster cluster = Cluster.start(1, 3, 1, 1)) {
            Entry home = cluster.entry(0);
            String session = cluster.caller().session(home);
            String before = session + ".before";
            String during = session + ".during";
            cluster.caller().submit(home, before, Caller.job(20, 1));
            assertThat(cluster.caller().awaitEnd(home, before, 10).state(), is("complete"));
            cluster.caller().submit(home, during, Caller.job(40, 400));
            cluster.list(home, true);
            home.process().terminate();
            Answer end = cluster.caller().awaitEnd(cluster.entry(1), during, 30);
            assertThat(end.state(), is("complete"));
            assertThat(Caller.wrongAnswers(end.body(), 40, 400), is(Optional.empty()));
            assertThat(home.process().awaitExit(30), is(0));
            cluster.delist(home);
            for (String name : List.of(before, during)) {
                Answer later = cluster.caller().awaitEnd(cluster.entry(2), name, 10);
                assertThat(later.state(), is("complete"));
            }
            String after = session + ".after";
            cluster.caller().submit(cluster.entry(1), after, Caller.job(5, 1));
            assertThat(
                    cluster.caller().awaitEnd(cluster.entry(2), after, 10).state(), is("complete"));
            assertThat(cluster.witness().startedTwice(), is(empty()));
        }
    }

    @Test
    void testRollingRestartUnderLoadLosesAndDoublesNothing() throws Exception {
        try (Cluster cluster = Cluster.start(2, 2, 1, 2);
                Load load = Load.start(cluster, 6, 20, 30)) {
            for (Entry entry : cluster.entries()) {
                Await.until("work flows", 20, () -> load.completed() > 10);
                cluster.list(entry, true);
                entry.process().terminate();
                assertThat(entry + " exits", entry.process().awaitExit(60), is(0));
                entry.process().start();
                cluster.list(entry, false);
                cluster.awaitReady(entry);
                Thread.sleep(500);
            }
            load.finish();
            String troubles = load.troubles().toString();
            assertThat(troubles, load.failed(), is(0));
            assertThat(troubles, load.wrong(), is(0));
            assertThat(troubles, load.refused(), is(0));
            assertThat(troubles, load.broken(), is(0));
            assertThat(load.completed(), greaterThan(50));
            assertThat(cluster.witness().startedTwice(), is(empty()));
            for (String name : load.names()) {
                Answer end = cluster.caller().awaitEnd(cluster.entry(0), name, 20);
                assertThat(name, end.state(), is("complete"));
            }
        }
    }

    @Test
    void testStopWhileThePlatformIsDownStillHandsOver() throws Exception {
        try (Cluster cluster = Cluster.start(1, 3, 1, 1)) {
            Entry home = cluster.entry(0);
            String name = cluster.caller().session(home) + ".outage";
            cluster.caller().submit(home, name, Caller.job(20, 5));
            cluster.caller().awaitEnd(home, name, 10);
            cluster.platform().down(true);
            home.process().terminate();
            assertThat(home.process().awaitExit(30), is(0));
            assertThat(
                    cluster.caller().awaitEnd(cluster.entry(2), name, 10).state(), is("complete"));
            assertThat(cluster.witness().startedTwice(), is(empty()));
        }
    }
}
