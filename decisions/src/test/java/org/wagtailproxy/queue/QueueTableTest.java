package org.wagtailproxy.queue;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import java.util.List;
import org.junit.jupiter.api.Test;
import org.wagtailproxy.identity.ServiceName;
import org.wagtailproxy.workload.QueueTerms;

class QueueTableTest {

    private static final QueueTable TABLE =
            new QueueTable(
                    3,
                    List.of(
                            queue("short", "a.example", "/x/"),
                            queue("long", "a.example", "/x/y/")),
                    new RequestLimits(1000, 1000, 1000));

    private static QueueEntry queue(String name, String host, String prefix) {
        return new QueueEntry(
                name, host, prefix, ServiceName.of("booking"), QueueTerms.of(0, 1.6, 60, 3));
    }

    @Test
    void testLongestPrefixOfTheHostWins() {
        assertThat(TABLE.find("a.example", "/x/y/1").get().name(), is("long"));
        assertThat(TABLE.find("A.example:80", "/x/1").get().name(), is("short"));
    }

    @Test
    void testOtherHostsAndPathsHaveNoQueue() {
        assertThat(TABLE.find("b.example", "/x/1").isEmpty(), is(true));
        assertThat(TABLE.find("a.example", "/z").isEmpty(), is(true));
    }
}
