package org.wagtailproxy.control;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.hasSize;
import static org.hamcrest.Matchers.is;

import java.util.List;
import org.junit.jupiter.api.Test;

class JobTimelineTest {

    private static String line(long at, String fields) {
        return "{\"time\":\"t\",\"fields\":{\"atMillis\":\"" + at + "\"," + fields + "}}";
    }

    @Test
    void testTimelineIsInOrderWithTheServersOfTheJobOnly() {
        JobTimeline timeline = new JobTimeline("1");
        timeline.add("noise");
        timeline.add("{\"other\":1}");
        timeline.add(
                "12.0 n2 "
                        + line(
                                1020,
                                "\"event\":\"run-ended\",\"job\":\"1\",\"server\":\"a\","
                                        + "\"outcome\":\"INTERRUPTED\",\"instance\":\"n2\""));
        timeline.add(line(1000, "\"event\":\"job-accepted\",\"job\":\"1\",\"instance\":\"n1\""));
        timeline.add(line(1000, "\"event\":\"job-accepted\",\"job\":\"2\",\"instance\":\"n1\""));
        timeline.add(line(1010, "\"event\":\"server-released\",\"server\":\"a\""));
        timeline.add(line(1010, "\"event\":\"server-released\",\"server\":\"b\""));
        timeline.add(line(9000, "\"event\":\"leader-followed\",\"peer\":\"n3\""));
        List<String> lines = timeline.lines();
        assertThat(lines, hasSize(3));
        assertThat(lines.get(0), containsString("job-accepted"));
        assertThat(lines.get(1), containsString("server-released"));
        assertThat(lines.get(2), containsString("outcome=INTERRUPTED"));
    }

    @Test
    void testUnknownJobHasNoTimeline() {
        assertThat(new JobTimeline("1").isEmpty(), is(true));
    }
}
