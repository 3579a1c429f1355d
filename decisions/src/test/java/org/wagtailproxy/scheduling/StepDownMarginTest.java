package org.wagtailproxy.scheduling;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import io.vavr.control.Option;
import java.util.List;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import org.wagtailproxy.identity.DataCentre;
import org.wagtailproxy.identity.HostAddress;
import org.wagtailproxy.leadership.InstanceName;
import org.wagtailproxy.leadership.InstanceRecord;
import org.wagtailproxy.leadership.PeerProbe;
import org.wagtailproxy.leadership.PeerTable;

class StepDownMarginTest {

    private static final long NANOS_PER_MILLI = 1_000_000;
    private static final long TICK_MILLIS = 100;
    private static final DataCentre DATA_CENTRE = DataCentre.of("near");
    private static final int PEERS = 5;

    @Test
    void testLeaderGivesUpHomeWithinMarginAfterHomeHasGivenItUp() {
        long latestMillis = 0;
        for (long reachedLater = 0; reachedLater <= 1000; reachedLater += 100) {
            for (long phase = 0; phase < TICK_MILLIS; phase += 33) {
                for (long cut = 1200; cut <= 5000; cut += 90) {
                    for (boolean ledBefore : new boolean[] {true, false}) {
                        long home = lossMillis(0, 0, cut, true);
                        long leader = lossMillis(reachedLater, phase, cut, ledBefore);
                        latestMillis = Math.max(latestMillis, leader - home);
                    }
                }
            }
        }
        assertThat(
                latestMillis + ServiceScheduler.MAX_TICK_PAUSE_MILLIS,
                lessThanOrEqualTo(DuplicateRunGuard.STEP_DOWN_MARGIN_MILLIS));
    }

    /**
     * Returns when an instance of a divided fleet finds its least senior peer unresponsive, with
     * which its connection is cut.
     *
     * @param reached when it first reaches the peers
     * @param phase by how much its ticks are shifted
     * @param cut when the connection is cut
     * @param frequent true if it always probes the peer in every tick, false if it starts to do so
     *     after the cut, when it becomes the leader
     */
    private static long lossMillis(long reached, long phase, long cut, boolean frequent) {
        PeerTable table = new PeerTable();
        List<InstanceRecord> records =
                IntStream.rangeClosed(1, PEERS).mapToObj(StepDownMarginTest::instance).toList();
        table.updateRegistered(records, any -> true, true);
        InstanceName peer = instance(PEERS).name();
        for (long at = reached + phase; ; at += TICK_MILLIS) {
            long now = (at + 10_000) * NANOS_PER_MILLI;
            if (table.unresponsivePeers(now).contains(peer)) {
                return at;
            }
            for (PeerProbe probe : table.dueProbes(frequent || at >= cut, Option.none(), now)) {
                if (at < cut || !probe.peer().equals(peer)) {
                    table.onAnswer(probe, 1, now);
                } else {
                    table.onTimeout(probe);
                }
            }
        }
    }

    private static InstanceRecord instance(int number) {
        return new InstanceRecord(
                InstanceName.of("i" + number),
                DATA_CENTRE,
                HostAddress.of("10.0.0.1", 7000 + number),
                1000,
                number);
    }
}
