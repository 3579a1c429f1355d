package org.wagtailproxy.dispatcher;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.is;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.wagtailproxy.identity.DataCentre;
import org.wagtailproxy.identity.HostAddress;
import org.wagtailproxy.identity.Incarnation;
import org.wagtailproxy.leadership.HomeProcess;
import org.wagtailproxy.leadership.InstanceName;
import org.wagtailproxy.leadership.LifeSigns;
import org.wagtailproxy.observe.EventLog;
import org.wagtailproxy.peer.MessageConverter;
import org.wagtailproxy.scheduling.FencingTokenSource;
import org.wagtailproxy.scheduling.LeaseTiming;
import org.wagtailproxy.scheduling.SchedulerTuning;
import org.wagtailproxy.wire.Presence;

class HomeMonitorTest {

    private static final HomeProcess FORWARDER =
            new HomeProcess(InstanceName.of("n2"), Incarnation.of(2, 1));

    private final VirtualTime mTime = new VirtualTime(1);
    private final SimulatedNetwork mNetwork = new SimulatedNetwork(mTime);
    private final SimulatedProcess mProcess =
            new SimulatedProcess(mTime, new SimulatedNetwork.Host("n1", "pwani-a"));
    private final List<String> mLost = new ArrayList<>();
    private final LifeSigns mLifeSigns = new LifeSigns(new NoEvents());
    private final HomeMonitor mHomes = newMonitor();

    private HomeMonitor newMonitor() {
        DispatcherSettings settings =
                new DispatcherSettings(
                        InstanceName.of("n1"),
                        Incarnation.of(1, 1),
                        DataCentre.of("pwani-a"),
                        HostAddress.of("127.0.0.1", 7001),
                        1000,
                        LeaseTiming.of(1000),
                        SchedulerTuning.defaults());
        EventLog log = EventLog.of("n1", "pwani-a", "1", (level, message, cause) -> {});
        LeaderElection election =
                new LeaderElection(
                        settings,
                        mProcess,
                        mNetwork.transport(mProcess),
                        FencingTokenSource.of("n1"),
                        log,
                        mLifeSigns,
                        new EvacuationTracker(log),
                        null);
        return new HomeMonitor(
                settings.home(),
                mProcess,
                election,
                mLifeSigns,
                (process, isRemote) -> mLost.add(process.name() + " " + isRemote),
                () -> {});
    }

    /** Receives a probe of the forwarder, which was sent now. */
    private void probe(boolean isRemote) {
        Presence probe =
                Presence.newBuilder()
                        .setName(FORWARDER.name().value())
                        .setIncarnation(MessageConverter.incarnation(FORWARDER.incarnation()))
                        .setDataCentre("pwani-b")
                        .setFollows(FORWARDER.name().value())
                        .setClockNanos(mProcess.nowNanos())
                        .setReceiverClockNanos(mProcess.nowNanos())
                        .build();
        mHomes.onProbeReceived(probe, isRemote);
    }

    @Test
    void testForwarderThatWasSilentMayHaveGivenUpItsJobs() {
        probe(true);
        mTime.after(600, () -> {});
        mTime.run(600);
        probe(true);
        assertThat(mLost, contains("n2 true"));
    }

    @Test
    void testForwarderThatWasSilentAndHasJoinedThePoolMayHaveGivenUpItsJobs() {
        probe(true);
        mTime.after(600, () -> {});
        mTime.run(600);
        probe(false);
        assertThat(mLost, contains("n2 false"));
    }

    @Test
    void testForwarderThatProbesInTimeHasItsJobs() {
        probe(true);
        mTime.after(500, () -> {});
        mTime.run(500);
        probe(false);
        assertThat(mLost, is(empty()));
    }

    /** Ignores what the clocks show. */
    private static final class NoEvents implements LifeSigns.Listener {

        @Override
        public void onInterrupted(HomeProcess process) {}

        @Override
        public void onSuspensionShown() {}
    }
}
