package org.wagtailproxy.identity;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import io.vavr.control.Option;
import java.util.List;
import org.junit.jupiter.api.Test;

class HostAddressTest {

    @Test
    void testAddressOfFourOctetsAndPortIsParsed() {
        for (String text : List.of("0.0.0.0:1", "10.128.0.9:8080", "255.249.199.99:65535")) {
            assertThat(HostAddress.parse(text).map(HostAddress::toString), is(Option.some(text)));
        }
    }

    @Test
    void testHostNameThatLooksLikeIpNumberIsRejected() {
        List<String> hosts =
                List.of("10.0.0.256", "999.1.1.1", "10.0.0.260", "10.0.0.01", "10.0.0", "a.b.c.d");
        for (String host : hosts) {
            assertThat(host, HostAddress.parse(host + ":8080"), is(Option.none()));
        }
    }

    @Test
    void testPortOutOfRangeIsRejected() {
        for (String port : List.of("-1", "0", "65536", "99999", "4294967376", "9".repeat(5000))) {
            assertThat(port, HostAddress.parse("10.0.0.1:" + port), is(Option.none()));
        }
    }
}
