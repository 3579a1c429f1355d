package org.wagtailproxy.control;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;

import org.junit.jupiter.api.Test;

class MetricsBurnTest {

    private static final int TARGET_PER_MILLE = 990;

    private static final String FIRST_INSTANCE =
            """
            # TYPE wagtailproxy_job_objectives_total counter
            wagtailproxy_job_objectives_total{met="true",priority="0"} 97.0
            wagtailproxy_job_objectives_total{met="false",priority="0"} 3.0
            wagtailproxy_job_answers_total{outcome="complete",reason="done"} 98.0
            """;

    private static final String SECOND_INSTANCE =
            """
            wagtailproxy_job_objectives_total{met="true",priority="0"} 1.0E2
            wagtailproxy_job_objectives_total{met="true",priority="2"} 50.0
            """;

    @Test
    void testCountsOfAllInstancesAddUpByPriority() {
        MetricsBurn burn = new MetricsBurn();
        burn.add(FIRST_INSTANCE);
        burn.add(SECOND_INSTANCE);
        String text = burn.toText(TARGET_PER_MILLE);
        assertThat(text, containsString(row("priority 0", 197, 3, 1.5)));
        assertThat(text, containsString(row("priority 2", 50, 0, 0)));
        assertThat(text, containsString(row("all", 247, 3, 1.2)));
        assertThat(text, containsString("read: 2 instances"));
    }

    @Test
    void testMetricsWithoutJobsHaveZeroBurn() {
        MetricsBurn burn = new MetricsBurn();
        burn.add("");
        assertThat(burn.toText(TARGET_PER_MILLE), containsString(row("all", 0, 0, 0)));
    }

    private static String row(String subject, int met, int missed, double rate) {
        return String.format("%-28s %10d %10d %9.2f", subject, met, missed, rate);
    }
}
