package org.wagtailproxy.leadership;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import java.util.Set;
import java.util.TreeSet;
import org.junit.jupiter.api.Test;

class MajorityTest {

    private static Set<InstanceName> names(String... names) {
        Set<InstanceName> set = new TreeSet<>();
        for (String name : names) {
            set.add(InstanceName.of(name));
        }
        return set;
    }

    @Test
    void testMoreThanHalfIsMajority() {
        assertThat(Majority.isMajority(names("b", "c"), names("a", "b", "c")), is(true));
        assertThat(Majority.isMajority(names("a"), names("a", "b", "c")), is(false));
    }

    @Test
    void testHalfWithTheFirstNameIsMajority() {
        Set<InstanceName> all = names("a", "b", "c", "d");
        assertThat(Majority.isMajority(names("a", "d"), all), is(true));
        assertThat(Majority.isMajority(names("b", "c"), all), is(false));
    }

    @Test
    void testOnlyInstanceIsMajority() {
        assertThat(Majority.isMajority(names("a"), names("a")), is(true));
    }
}
