package org.wagtailproxy.observe;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.is;

import java.nio.charset.StandardCharsets;
import java.util.Map;
import org.junit.jupiter.api.Test;

class MetricsRecorderTest {

    private static final DispatchState STATE =
            new DispatchState(2, true, 5, 32_000, 14_000, Map.of(1, 3));

    private static String text(DispatchMetrics metrics) {
        return new String(
                metrics.toPrometheusText(STATE, 7, Map.of("instances", 1500L)),
                StandardCharsets.UTF_8);
    }

    @Test
    void testRecordsFromBeforeTheMetricsWereCreatedAreCounted() {
        MetricsRecorder recorder = new MetricsRecorder();
        recorder.record(metrics -> metrics.requestRefused("unknown-queue"));
        DispatchMetrics metrics = recorder.open();
        recorder.record(after -> after.requestRefused("unknown-queue"));
        assertThat(
                text(metrics),
                containsString("wagtailproxy_refusals_total{failure=\"unknown-queue\"} 2"));
        assertThat(recorder.dropped(), is(0L));
    }

    @Test
    void testQueuedRecordsAreBounded() {
        MetricsRecorder recorder = new MetricsRecorder();
        for (int number = 0; number < 20_010; number++) {
            recorder.record(metrics -> metrics.lineLogged("job-ended"));
        }
        assertThat(recorder.dropped(), is(10L));
        assertThat(
                text(recorder.open()),
                containsString("wagtailproxy_events_total{event=\"job-ended\"} 20000"));
    }

    @Test
    void testStateIsExposedAsGauges() {
        String text = text(new MetricsRecorder().open());
        assertThat(text, containsString("wagtailproxy_waiting_jobs{priority=\"1\"} 3"));
        assertThat(text, containsString("wagtailproxy_leads 1"));
        assertThat(text, containsString("wagtailproxy_used_cores 14"));
        assertThat(
                text, containsString("wagtailproxy_knowledge_age_seconds{of=\"instances\"} 1.5"));
    }

    @Test
    void testObjectiveIsMetOnlyByCompleteJobsInTime() {
        DispatchMetrics metrics = new MetricsRecorder().open();
        metrics.jobAnswered("complete", "done", 0, 150, 156);
        metrics.jobAnswered("complete", "done", 0, 157, 156);
        metrics.jobAnswered("refused", "no room in time", 0, 1, 156);
        String text = text(metrics);
        assertThat(
                text,
                containsString("wagtailproxy_job_objectives_total{met=\"true\",priority=\"0\"} 1"));
        assertThat(
                text,
                containsString(
                        "wagtailproxy_job_objectives_total{met=\"false\",priority=\"0\"} 2"));
    }
}
