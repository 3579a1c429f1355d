package org.wagtailproxy.dispatcher;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import java.util.List;
import java.util.function.BiPredicate;
import org.wagtailproxy.workload.JobId;
import org.wagtailproxy.workload.QueueTerms;
import org.wagtailproxy.workload.StepSpec;
import org.wagtailproxy.workload.WorkSpec;

/** Plays sequences of faults on a simulated fleet, without drawn faults. */
abstract class FleetScenes {

    static final FleetSimulation.Size ONE_DATA_CENTRE =
            new FleetSimulation.Size(List.of("pwani-a"), 4);

    /** Time after which the lists of servers are known to be complete. */
    private static final long READY_MILLIS = 10_000;

    private static final long RESUBMIT_MILLIS = 1300;
    private static final long TIMEOUT_MILLIS = 12_000;
    static final long CUT_MILLIS = 9000;

    FleetSimulation mFleet;

    void begin(FleetSimulation.Size size, int seed) {
        mFleet = new FleetSimulation(seed, size);
        mFleet.mTime.run(READY_MILLIS);
    }

    void runFor(long millis) {
        mFleet.mTime.run(mFleet.mTime.nowMillis() + millis);
    }

    void assertNoDoubleRun() {
        assertThat(mFleet.report(), is(""));
    }

    SimulatedInstance leader(String dataCentre) {
        return mFleet.upInstances().stream()
                .filter(each -> each.mHost.dataCentre().equals(dataCentre))
                .filter(SimulatedInstance::isLeader)
                .findFirst()
                .orElseThrow();
    }

    List<SimulatedInstance> followers(String dataCentre) {
        return mFleet.upInstances().stream()
                .filter(each -> each.mHost.dataCentre().equals(dataCentre))
                .filter(each -> !each.isLeader())
                .toList();
    }

    SimulatedInstance follower(String dataCentre) {
        return followers(dataCentre).get(0);
    }

    SimulatedServer usedServer() {
        return mFleet.mServers.values().stream()
                .filter(server -> !server.mRunning.isEmpty())
                .findFirst()
                .orElseThrow();
    }

    /** Hands a job in at an instance, which its caller does once its connection stands. */
    void submit(WorkSpec job, SimulatedInstance home) {
        mFleet.mTime.note("caller sends " + job.id() + " to " + home.mHost.name());
        if (job.isStored()) {
            mFleet.onStoredJobSubmitted(job.id());
        }
        home.process()
                .execute(
                        () ->
                                home.dispatcher()
                                        .submit(job, TIMEOUT_MILLIS, "caller", outcome -> {}));
    }

    /** Hands a job in again, as a caller does some time after its connection broke. */
    void resubmit(WorkSpec job, SimulatedInstance home) {
        mFleet.mTime.after(RESUBMIT_MILLIS, () -> submit(job, home));
    }

    void cut(BiPredicate<SimulatedNetwork.Host, SimulatedNetwork.Host> links, long millis) {
        mFleet.mNetwork.cut(links, millis);
    }

    /** Cuts the servers of a data centre from all its instances but the leader. */
    void cutServersFromNextLeaders(SimulatedInstance leader) {
        cut(
                (from, to) ->
                        from.dataCentre().equals(leader.mHost.dataCentre())
                                && isServer(from, to)
                                && !isLinked(from, to, leader.mHost),
                CUT_MILLIS);
    }

    /** Ends a machine, whose address then answers nothing, not even with a refusal. */
    void lose(SimulatedInstance instance, long millis) {
        cut((from, to) -> isLinked(from, to, instance.mHost), millis);
        instance.kill();
    }

    static boolean isLinked(
            SimulatedNetwork.Host from, SimulatedNetwork.Host to, SimulatedNetwork.Host host) {
        return from.equals(host) || to.equals(host);
    }

    boolean isInstance(SimulatedNetwork.Host host) {
        return mFleet.mInstances.containsKey(host.name());
    }

    boolean isServer(SimulatedNetwork.Host from, SimulatedNetwork.Host to) {
        return from.name().startsWith("server-") || to.name().startsWith("server-");
    }

    static WorkSpec job(int tasks, long estimateMillis) {
        return job("00000000000000a1", tasks, estimateMillis);
    }

    static WorkSpec storedJob(String id, int tasks, long estimateMillis) {
        return job(id, tasks, estimateMillis).withStorage("queue");
    }

    static WorkSpec other(int tasks, long estimateMillis) {
        return job("00000000000000b2", tasks, estimateMillis);
    }

    static WorkSpec job(String id, int tasks, long estimateMillis) {
        return WorkSpec.of(
                new JobId(id),
                SimulatedServer.SERVICE,
                Long.toString(estimateMillis),
                List.of(StepSpec.of(tasks, SimulatedServer.DEMAND, estimateMillis)),
                QueueTerms.of(0, 6, 60, 3));
    }
}
