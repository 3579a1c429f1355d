package org.wagtailproxy.limits;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThan;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import org.junit.jupiter.api.Test;

/** Guards against limits whose sum exceeds the means of a process. */
class InstanceLimitsTest {

    /** The heap of the deploy file. */
    private static final long HEAP_BYTES = 64 * 1024 * 1024;

    @Test
    void testMemoryOfAllLimitsLeavesHalfOfTheHeap() {
        InstanceLimits limits = InstanceLimits.of(HEAP_BYTES, 2212);
        long bytes =
                limits.callers().maxMemoryBytes()
                        + 2 * limits.internal().maxMemoryBytes()
                        + limits.peers().maxMemoryBytes()
                        + limits.jobMemoryBytes()
                        + limits.storedJobMemoryBytes();
        assertThat(bytes, is(lessThanOrEqualTo(HEAP_BYTES / 2)));
    }

    @Test
    void testConnectionsLeaveDescriptorsForFilesAndBackendServers() {
        for (int descriptors : new int[] {400, 2212, 3075, 10_250}) {
            InstanceLimits limits = InstanceLimits.of(HEAP_BYTES, descriptors);
            int connections =
                    limits.callers().maxConnections()
                            + 2 * limits.internal().maxConnections()
                            + limits.peers().maxConnections();
            assertThat(connections, is(lessThan(descriptors - 200)));
        }
    }

    @Test
    void testLargestLegalRequestFitsManyTimes() {
        ClientLimits callers = InstanceLimits.of(HEAP_BYTES, 2212).callers();
        assertThat(callers.maxMemoryBytes(), is(greaterThan(4L * callers.maxBodyBytes())));
        assertThat(callers.maxReadAheadBytes(), is(greaterThan(262_144L + 16_384)));
    }
}
