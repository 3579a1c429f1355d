package org.wagtailproxy.identity;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import java.util.List;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.LongRange;
import org.junit.jupiter.api.Test;

class JobNameTest {

    @Test
    void testKeyAloneHasNoSession() {
        assertThat(JobName.parse("morning-1").get().session().isEmpty(), is(true));
    }

    @Test
    void testMalformedNamesAreRefused() {
        String incarnation = "0".repeat(32);
        List<String> malformed =
                List.of(
                        "",
                        "a b",
                        "x.y",
                        incarnation + ".1",
                        incarnation + ".-1.k",
                        incarnation + ".99999999999.k",
                        incarnation + ".1.",
                        "é");
        malformed.forEach(text -> assertThat(text, JobName.parse(text).isLeft(), is(true)));
    }

    @Property(seed = "20261204")
    void testTextFormReadsBack(
            @ForAll long high,
            @ForAll long low,
            @ForAll @LongRange(min = 0, max = 9999999) long w) {
        JobName name = JobName.of(SessionToken.of(Incarnation.of(high, low), w), "key");
        assertThat(JobName.parse(name.toString()).get(), is(name));
    }
}
