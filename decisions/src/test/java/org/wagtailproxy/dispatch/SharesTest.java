package org.wagtailproxy.dispatch;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.is;

import java.util.List;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import org.junit.jupiter.api.Test;

class SharesTest {

    @Test
    void testIdleInstanceLeavesMostSlotsToABusyOne() {
        assertThat(Shares.computeShare(8, List.of(0, 100), 1, 0), greaterThan(6));
    }

    @Test
    void testEqualDemandsShareEqually() {
        assertThat(Shares.computeShare(8, List.of(5, 5), 0, 3), is(4));
    }

    /** Instances that use the same demands divide all slots without overlap. */
    @Property(seed = "20261204")
    void testSharesAddUpToTheSlots(
            @ForAll @IntRange(max = 500) int slots,
            @ForAll @Size(min = 1, max = 16) List<@IntRange(max = 1000) Integer> demands,
            @ForAll int rotation) {
        int sum = 0;
        for (int ownIndex = 0; ownIndex < demands.size(); ownIndex++) {
            sum += Shares.computeShare(slots, demands, ownIndex, rotation);
        }
        assertThat(sum, is(slots));
    }
}
