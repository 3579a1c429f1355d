package org.wagtailproxy.scheduling;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import io.vavr.control.Option;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.wagtailproxy.fleet.Evacuations;
import org.wagtailproxy.identity.DataCentre;
import org.wagtailproxy.identity.ServiceName;
import org.wagtailproxy.workload.JobId;
import org.wagtailproxy.workload.QueueTerms;
import org.wagtailproxy.workload.ResourceAmount;
import org.wagtailproxy.workload.StepSpec;
import org.wagtailproxy.workload.WorkSpec;

class SpillOverTest {

    private static final DataCentre PUNO = DataCentre.of("puno");
    private static final DataCentre CUSCO = DataCentre.of("cusco");
    private static final Set<DataCentre> OTHERS = Set.of(PUNO, CUSCO);
    private static final long NANOS_PER_MILLI = 1_000_000;

    private static WorkSpec job(int tasks) {
        return WorkSpec.of(
                new JobId("0123456789abcdef"),
                ServiceName.of("despacho"),
                "",
                List.of(StepSpec.of(tasks, ResourceAmount.of(14_000, 64, 0), 60)),
                QueueTerms.of(0, 1.6, 60, 2));
    }

    @Test
    void testDataCentreWithMostFreeCapacityIsChosen() {
        SpillOver spill = new SpillOver();
        spill.updateReport(PUNO, 100_000, 0, 0);
        spill.updateReport(CUSCO, 200_000, 0, 0);
        assertThat(spill.chooseDataCentre(job(4), NANOS_PER_MILLI), is(Option.some(CUSCO)));
    }

    @Test
    void testCapacityIsNotUsedTwiceBetweenReports() {
        SpillOver spill = new SpillOver();
        spill.updateReport(PUNO, 100_000, 0, 0);
        assertThat(spill.chooseDataCentre(job(4), NANOS_PER_MILLI).isDefined(), is(true));
        assertThat(spill.chooseDataCentre(job(4), NANOS_PER_MILLI).isDefined(), is(false));
        spill.updateReport(PUNO, 100_000, 0, 2 * NANOS_PER_MILLI);
        assertThat(spill.chooseDataCentre(job(4), 2 * NANOS_PER_MILLI).isDefined(), is(true));
    }

    @Test
    void testDataCentreWithQueueIsNotChosen() {
        SpillOver spill = new SpillOver();
        spill.updateReport(PUNO, 100_000, 5, 0);
        assertThat(spill.chooseDataCentre(job(1), NANOS_PER_MILLI).isDefined(), is(false));
    }

    @Test
    void testOldReportsAreIgnored() {
        SpillOver spill = new SpillOver();
        spill.updateReport(PUNO, 100_000, 0, 0);
        assertThat(spill.chooseDataCentre(job(1), 401 * NANOS_PER_MILLI).isDefined(), is(false));
        spill.updateReport(PUNO, 100_000, 0, 500 * NANOS_PER_MILLI);
        spill.removeReport(PUNO);
        assertThat(spill.chooseDataCentre(job(1), 501 * NANOS_PER_MILLI).isDefined(), is(false));
    }

    @Test
    void testEvacuatedDataCentreGetsNoJob() {
        SpillOver spill = new SpillOver();
        spill.updateReport(PUNO, 500_000, 0, 0);
        spill.updateReport(CUSCO, 100_000, 0, 0);
        spill.updateEvacuations(new Evacuations(1, Set.of(PUNO)));
        assertThat(spill.chooseDataCentre(job(1), NANOS_PER_MILLI), is(Option.some(CUSCO)));
        assertThat(spill.chooseForEvacuated(job(1), 50, NANOS_PER_MILLI), is(Option.some(CUSCO)));
        spill.updateEvacuations(new Evacuations(2, Set.of()));
        assertThat(spill.chooseDataCentre(job(1), NANOS_PER_MILLI), is(Option.some(PUNO)));
    }

    @Test
    void testJobsOfEvacuatedDataCentreAreSpreadOverTheOthers() {
        SpillOver spill = new SpillOver();
        spill.updateReport(PUNO, 200_000, 0, 0);
        spill.updateReport(CUSCO, 200_000, 0, 0);
        int[] jobs = new int[2];
        for (int job = 0; job < 40; job++) {
            Option<DataCentre> chosen = spill.chooseForEvacuated(job(2), 50, NANOS_PER_MILLI);
            jobs[chosen.get().equals(PUNO) ? 0 : 1]++;
        }
        assertThat(jobs[0], is(20));
        assertThat(jobs[1], is(20));
    }

    @Test
    void testJobOfEvacuatedDataCentreGoesToQueueThatItCanWaitFor() {
        SpillOver spill = new SpillOver();
        spill.updateReport(PUNO, 0, 80, 0);
        spill.updateReport(CUSCO, 0, 30, 0);
        assertThat(spill.chooseForEvacuated(job(1), 50, NANOS_PER_MILLI), is(Option.some(CUSCO)));
        assertThat(spill.chooseForEvacuated(job(1), 20, NANOS_PER_MILLI), is(Option.none()));
        assertThat(spill.isUnattainable(OTHERS, 20, NANOS_PER_MILLI), is(true));
        assertThat(spill.isUnattainable(OTHERS, 50, NANOS_PER_MILLI), is(false));
    }

    @Test
    void testMissingOrOldReportDoesNotShowThatAJobIsUnattainable() {
        SpillOver spill = new SpillOver();
        spill.updateReport(PUNO, 0, 80, 0);
        assertThat(spill.isUnattainable(OTHERS, 20, NANOS_PER_MILLI), is(false));
        spill.updateReport(CUSCO, 0, 80, 0);
        assertThat(spill.isUnattainable(OTHERS, 20, NANOS_PER_MILLI), is(true));
        assertThat(spill.isUnattainable(OTHERS, 20, 500 * NANOS_PER_MILLI), is(false));
        spill.updateEvacuations(new Evacuations(1, OTHERS));
        assertThat(spill.isUnattainable(OTHERS, 20, 500 * NANOS_PER_MILLI), is(true));
        assertThat(spill.isUnattainable(Set.of(), 20, NANOS_PER_MILLI), is(true));
    }
}
