package org.wagtailproxy.dispatcher;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.is;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Tag;
import org.junit.jupiter.api.Test;

class FleetDuplicateRunTest {

    private static final long SIMULATED_MILLIS = 20_000;

    /** A short time for a fleet whose simulation takes long. */
    private static final long SHORT_SIMULATED_MILLIS = 8_000;

    private static final int FIRST_SEED = Integer.getInteger("fleet.run.first.seed", 1);

    /** More seeds are run with -Dfleet.run.seeds=N. */
    private static final int SEEDS = Integer.getInteger("fleet.run.seeds", 6);

    /** DIVIDED, POOLED or SITE, with -Dfleet.run.size=NAME. */
    private static final FleetSimulation.Size SIZE =
            FleetSimulation.sizeOf(System.getProperty("fleet.run.size", "DIVIDED"));

    private static final FleetFaults.Options PAUSES = new FleetFaults.Options(false, false);

    private static final FleetFaults.Options OPTIONS =
            new FleetFaults.Options(
                    Boolean.getBoolean("fleet.run.suspends"),
                    Boolean.getBoolean("fleet.run.aims"),
                    Boolean.getBoolean("fleet.run.changes"),
                    Boolean.getBoolean("fleet.run.contract"));

    /** Callers whose connection is reset send again at once, with -Dfleet.run.resends=true. */
    private static final boolean RESENDS = Boolean.getBoolean("fleet.run.resends");

    /** Time after the faults in which the accepted stored jobs have to end. */
    private static final long SETTLING_MILLIS = 40_000;

    /** Prints the whole trace of each seed, or the lines that contain one of some words. */
    private static final String TRACE = System.getProperty("fleet.run.trace");

    private static void printTrace(FleetSimulation simulation) {
        if (TRACE != null) {
            List<String> words = TRACE.isEmpty() ? List.of() : List.of(TRACE.split(","));
            simulation.mTime.trace(words).forEach(System.out::println);
        }
    }

    @Test
    void testWokenLeaderDoesNotRunForwardedJobThatIsSentAgain() {
        FleetSimulation simulation = new FleetSimulation(2060, FleetSimulation.DIVIDED, PAUSES);
        simulation.run(SIMULATED_MILLIS);
        assertThat(simulation.report(), is(""));
    }

    @Test
    void testSuspendedLeaderDoesNotRunForwardedJobThatIsSentAgain() {
        FleetSimulation simulation =
                new FleetSimulation(
                        2060, FleetSimulation.DIVIDED, new FleetFaults.Options(true, false));
        simulation.run(SIMULATED_MILLIS);
        assertThat(simulation.report(), is(""));
    }

    @Test
    void testSuspendedLeaderDoesNotRunForwardedJobOfKilledForwarder() {
        FleetSimulation simulation =
                new FleetSimulation(
                        3075, FleetSimulation.DIVIDED, new FleetFaults.Options(true, true));
        simulation.run(SIMULATED_MILLIS);
        assertThat(simulation.report(), is(""));
    }

    @Test
    void testJobOfKilledHomeIsNotStartedAfterTheHomeIsBack() {
        FleetSimulation simulation = new FleetSimulation(5019, FleetSimulation.DIVIDED, PAUSES);
        simulation.run(SIMULATED_MILLIS);
        assertThat(simulation.report(), is(""));
    }

    @Test
    void testJobOfKilledHomeThatIsBackIsNotKeptByNewLeader() {
        FleetSimulation simulation = new FleetSimulation(7001, FleetSimulation.DIVIDED, PAUSES);
        simulation.run(SIMULATED_MILLIS);
        assertThat(simulation.report(), is(""));
    }

    @Test
    void testSuspendedLeaderDoesNotRunJobOfHomeThatWasKilledMeanwhile() {
        FleetSimulation simulation =
                new FleetSimulation(
                        8056, FleetSimulation.DIVIDED, new FleetFaults.Options(true, true));
        simulation.run(SIMULATED_MILLIS);
        assertThat(simulation.report(), is(""));
    }

    @Test
    void testSuspendedLeaderDoesNotRunJobThatItsHomeHasGivenUp() {
        FleetSimulation simulation =
                new FleetSimulation(
                        41078, FleetSimulation.POOLED, new FleetFaults.Options(true, true));
        simulation.run(SIMULATED_MILLIS);
        assertThat(simulation.report(), is(""));
    }

    @Test
    void testWokenLeaderAdoptsRunThatWasReportedWhileItTrackedAnEarlierOne() {
        FleetSimulation simulation =
                new FleetSimulation(
                        60022, FleetSimulation.DIVIDED, new FleetFaults.Options(true, true));
        simulation.run(SIMULATED_MILLIS);
        assertThat(simulation.report(), is(""));
    }

    @Test
    void testJobIsWithdrawnFromLeaderThatHasRefusedItsLatestSubmissionOnly() {
        FleetSimulation simulation =
                new FleetSimulation(
                        60029, FleetSimulation.DIVIDED, new FleetFaults.Options(true, true));
        simulation.run(SIMULATED_MILLIS);
        assertThat(simulation.report(), is(""));
    }

    @Test
    @Tag("known-red")
    void testLeaderDoesNotRunTaskWhoseServerItReleasedToAnotherPool() {
        FleetSimulation simulation =
                new FleetSimulation(
                        92106,
                        FleetSimulation.DIVIDED,
                        new FleetFaults.Options(true, true, true, true));
        simulation.run(SIMULATED_MILLIS);
        assertThat(simulation.report(), is(""));
    }

    @Test
    void testFleetNeverRunsTaskTwiceNorRefusesStartedJob() {
        checkSeeds(FIRST_SEED, SEEDS, SIZE, OPTIONS, SIMULATED_MILLIS);
    }

    @Test
    void testPooledFleetNeverRunsTaskTwiceNorRefusesStartedJob() {
        checkSeeds(
                1,
                6,
                FleetSimulation.POOLED,
                new FleetFaults.Options(true, true, true),
                SIMULATED_MILLIS);
    }

    @Test
    void testLargeFleetInAllDisruptionsNeverRunsTaskTwiceNorRefusesStartedJob() {
        checkSeeds(
                1,
                2,
                FleetSimulation.SITE,
                new FleetFaults.Options(true, true, true, true),
                SHORT_SIMULATED_MILLIS);
    }

    @Test
    void testFleetWithStoredJobsNeverRunsDoneTaskAgainNorLosesAcceptedJob() {
        checkStoredJobs(
                FIRST_SEED,
                SEEDS,
                FleetSimulation.sizeOf(System.getProperty("fleet.run.size", "POOLED")),
                new FleetFaults.Options(true, true, true, true));
    }

    private static void checkStoredJobs(
            int first, int count, FleetSimulation.Size size, FleetFaults.Options options) {
        List<String> reports = new ArrayList<>();
        for (int seed = first; seed < first + count; seed++) {
            FleetSimulation simulation = new FleetSimulation(seed, size, options);
            simulation.sendStoredJobs();
            simulation.run(SIMULATED_MILLIS);
            simulation.settle(SETTLING_MILLIS);
            printTrace(simulation);
            if (!simulation.report().isEmpty()) {
                reports.add("seed " + seed + " at " + simulation.report());
            }
        }
        assertThat(String.join("\n", reports), reports.size(), is(0));
    }

    private static void checkSeeds(
            int first,
            int count,
            FleetSimulation.Size size,
            FleetFaults.Options options,
            long millis) {
        List<String> reports = new ArrayList<>();
        int remoteStarts = 0;
        for (int seed = first; seed < first + count; seed++) {
            FleetSimulation simulation = new FleetSimulation(seed, size, options);
            if (RESENDS) {
                simulation.resetCallers();
            }
            simulation.run(millis);
            printTrace(simulation);
            if (!simulation.report().isEmpty()) {
                reports.add("seed " + seed + " at " + simulation.report());
            } else {
                assertThat("seed " + seed, simulation.mStarts, is(greaterThan(20)));
                assertThat("seed " + seed, simulation.completed(), is(greaterThan(0)));
            }
            remoteStarts += simulation.mRemoteStarts;
        }
        assertThat(String.join("\n", reports), reports.size(), is(0));
        assertThat("starts in other data centres", remoteStarts, is(greaterThan(0)));
    }
}
