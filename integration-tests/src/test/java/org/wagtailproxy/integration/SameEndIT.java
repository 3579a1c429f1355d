package org.wagtailproxy.integration;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.is;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.wagtailproxy.integration.Caller.Answer;
import org.wagtailproxy.integration.Cluster.Entry;
import org.wagtailproxy.integration.FaultProxy.Fault;

/**
 * Guards against jobs without an end, against ends that get lost when instances crash, and against
 * different ends of one job. Ends differ if the home instance publishes an end although other
 * instances have sealed it and report its jobs as failed.
 */
class SameEndIT {

    @Test
    void testEndThatWasSeenOutlivesTheCrashOfItsHome() throws Exception {
        try (Cluster cluster = Cluster.start(1, 3, 1, 1)) {
            Entry home = cluster.entry(0);
            List<String> names = submit(cluster, home, "seen", 5, 50, 2);
            for (String name : names) {
                Answer end = cluster.caller().awaitEnd(cluster.entry(1), name, 20);
                assertThat(end.state(), is("complete"));
            }
            home.process().kill();
            for (String name : names) {
                Answer end = cluster.caller().awaitEnd(cluster.entry(2), name, 20);
                assertThat(end.state(), is("complete"));
                assertThat(Caller.findWrongAnswer(end.body(), 50, 2), is(Optional.empty()));
            }
        }
    }

    @Test
    void testEndThatWasSeenOutlivesRestartsOfEveryInstanceInTurn() throws Exception {
        try (Cluster cluster = Cluster.start(1, 3, 1, 1)) {
            List<String> names = submit(cluster, cluster.entry(0), "turn", 5, 20, 2);
            for (String name : names) {
                cluster.caller().awaitEnd(cluster.entry(1), name, 20);
            }
            for (Entry entry : List.of(cluster.entry(1), cluster.entry(2), cluster.entry(0))) {
                entry.process().kill();
                entry.process().start();
                cluster.awaitReady(entry);
                Thread.sleep(2000);
            }
            for (String name : names) {
                Answer end = cluster.caller().awaitEnd(cluster.entry(2), name, 20);
                assertThat(end.state(), is("complete"));
            }
        }
    }

    /**
     * A home instance that resumes after it was sealed must publish no other end than its peers.
     */
    @Test
    void testPausedHomeThatWakesAfterItWasSealedTellsNoOtherEnd() throws Exception {
        try (Cluster cluster = Cluster.start(1, 3, 1, 1)) {
            Entry home = cluster.entry(0);
            ObservedEnds observedEnds = new ObservedEnds(cluster);
            List<String> names = submit(cluster, home, "frozen", 8, 40, 100);
            home.process().pause();
            cluster.removeFromInstanceList(home);
            for (String name : names) {
                cluster.caller().awaitEnd(cluster.entry(1), name, 30);
            }
            observedEnds.queryAllInstances(names);
            home.process().resume();
            for (int round = 0; round < 40; round++) {
                observedEnds.queryAllInstances(names);
                Thread.sleep(50);
            }
            assertThat(observedEnds.conflictingEnds(), is(empty()));
            assertThat(observedEnds.endedJobCount(), is(names.size()));
        }
    }

    @Test
    void testIsolatedHomeWithholdsEndsAndNobodyHearsTwo() throws Exception {
        try (Cluster cluster = Cluster.start(1, 3, 1, 1)) {
            Entry home = cluster.entry(0);
            ObservedEnds observedEnds = new ObservedEnds(cluster);
            List<String> names = submit(cluster, home, "isolated", 8, 40, 150);
            cluster.setPeerFault(home, Fault.FREEZE);
            home.platformProxy().setFault(Fault.FREEZE);
            cluster.removeFromInstanceList(home);
            for (int round = 0; round < 120; round++) {
                observedEnds.queryAllInstances(names);
                Thread.sleep(50);
            }
            cluster.setPeerFault(home, Fault.NONE);
            home.platformProxy().setFault(Fault.NONE);
            for (String name : names) {
                cluster.caller().awaitEnd(cluster.entry(2), name, 30);
            }
            observedEnds.queryAllInstances(names);
            assertThat(observedEnds.conflictingEnds(), is(empty()));
            assertThat(observedEnds.endedJobCount(), is(names.size()));
        }
    }

    /**
     * A paused home instance is not sealed while an outdated instance list still contains it: its
     * jobs are reported as unreachable, and they complete after the pause.
     */
    @Test
    void testFrozenListAloneBringsNoVerdict() throws Exception {
        try (Cluster cluster = Cluster.start(1, 3, 1, 1)) {
            Entry home = cluster.entry(0);
            // Far longer than the submission takes under other load, so that no job ends before.
            List<String> names = submit(cluster, home, "lagging", 3, 20, 1000);
            cluster.platform().setListFrozen(true);
            home.process().pause();
            cluster.removeFromInstanceList(home);
            Thread.sleep(5000);
            for (String name : names) {
                Answer answer = cluster.caller().get(cluster.entry(1), name, 0);
                assertThat(answer.state(), answer.problemType(), is("home-unreachable"));
            }
            home.process().resume();
            ObservedEnds observedEnds = new ObservedEnds(cluster);
            for (String name : names) {
                Answer end = cluster.caller().awaitEnd(cluster.entry(1), name, 30);
                assertThat(end.state(), is("complete"));
            }
            observedEnds.queryAllInstances(names);
            assertThat(observedEnds.conflictingEnds(), is(empty()));
        }
    }

    @Test
    void testDelistedHomeThatIsAliveKeepsItsJobs() throws Exception {
        try (Cluster cluster = Cluster.start(1, 3, 1, 1)) {
            Entry home = cluster.entry(0);
            cluster.removeFromInstanceList(home);
            Thread.sleep(5000);
            List<String> names = submit(cluster, home, "delisted", 3, 20, 20);
            for (String name : names) {
                Answer end = cluster.caller().awaitEnd(cluster.entry(1), name, 20);
                assertThat(end.state(), is("complete"));
            }
        }
    }

    @Test
    void testDataCentreCutOffFromAllElseGoesOnServing() throws Exception {
        try (Cluster cluster = Cluster.start(2, 2, 1, 1)) {
            cluster.setFaultBetween(1, 2, Fault.FREEZE);
            for (Entry entry : cluster.entriesIn(1)) {
                entry.platformProxy().setFault(Fault.FREEZE);
                cluster.removeFromInstanceList(entry);
            }
            Thread.sleep(3000);
            List<String> names = submit(cluster, cluster.entry(0), "alone", 3, 20, 20);
            for (String name : names) {
                Answer end = cluster.caller().awaitEnd(cluster.entry(1), name, 20);
                assertThat(end.state(), is("complete"));
            }
        }
    }

    private static List<String> submit(
            Cluster cluster, Entry home, String prefix, int jobs, int tasks, long milliseconds)
            throws IOException, InterruptedException {
        String session = cluster.caller().fetchSession(home);
        List<String> names = new ArrayList<>();
        for (int index = 0; index < jobs; index++) {
            String name = session + "." + prefix + index;
            cluster.caller().submit(home, name, Caller.jobDocument(tasks, milliseconds));
            names.add(name);
        }
        return names;
    }
}
