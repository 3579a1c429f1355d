package org.wagtailproxy.dispatcher;

import java.util.ArrayList;
import java.util.Collections;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.function.BiPredicate;

/**
 * Draws disruptions that the platform allows besides losses, cuts and pauses: connections that go
 * silent, processes that are slow, commands that are carried out late, servers that leave or flap,
 * and a store that rejects some instances or leaves calls unanswered.
 */
final class FleetDisruptions {

    private static final int MAX_EVENT_MICROS = 12_000;
    private static final int QUOTA_PERIOD_MILLIS = 100;

    /** Time that a server continues after it has reported that it leaves. */
    private static final int MIN_NOTICE_MILLIS = 1600;

    private static final int MAX_NOTICE_MILLIS = 4500;

    /** Time after which the entry of a silent server is removed. */
    private static final int ENTRY_LIFE_MILLIS = 4500;

    private static final int REPLACEMENT_MILLIS = 4000;

    /** Time that a planned stop of an instance may take. */
    private static final int GRACE_MILLIS = 6000;

    private final FleetSimulation mFleet;
    private final FleetFaults mFaults;
    private final VirtualTime mTime;
    private final List<String> mDataCentres;

    FleetDisruptions(FleetSimulation fleet, FleetFaults faults, List<String> dataCentres) {
        mFleet = fleet;
        mFaults = faults;
        mTime = fleet.mTime;
        mDataCentres = dataCentres;
    }

    void draw(SimulatedInstance leader, SimulatedInstance target) {
        List<Runnable> disruptions =
                List.of(
                        () -> silenceConnections(target),
                        this::silenceAllConnections,
                        () -> silenceWayToStore(target),
                        () -> silenceWaysToServers(target),
                        () -> slow(target),
                        this::slowMany,
                        () -> limitByQuota(target),
                        () -> delayCommands(CommandDisruptions.Kind.ORDER),
                        () -> delayCommands(CommandDisruptions.Kind.GRANT),
                        () -> leave(mTime.oneOf(upServers()), drawNoticeMillis()),
                        this::reclaim,
                        this::flap,
                        this::delist,
                        this::loseAnswersOfStore,
                        this::compactStore,
                        this::slowStore,
                        () -> rejectAtStore(leader),
                        () -> stop(target),
                        () -> stopInTurn(leader),
                        this::killMany,
                        this::splitInstances,
                        this::cutServers,
                        () -> cutAndRefuse(target));
        mTime.oneOf(disruptions).run();
    }

    private double drawShare() {
        return mTime.between(10, 100) / 100.0;
    }

    private static String percent(double share) {
        return Math.round(100 * share) + "%";
    }

    private void silenceConnections(SimulatedInstance instance) {
        double share = drawShare();
        mFaults.note(
                percent(share) + " of the connections of " + instance.mHost.name() + " go silent");
        SimulatedProcess process = instance.process();
        mFleet.mNetwork.silence(each -> each == process, share);
    }

    private void silenceAllConnections() {
        double share = mTime.chance(0.3) ? 1 : drawShare();
        mFaults.note(percent(share) + " of all connections go silent");
        mFleet.mNetwork.silence(each -> true, share);
        if (mTime.chance(0.5)) {
            mFleet.upInstances()
                    .forEach(each -> mFleet.mStore.mDisruptions.silence(each.process()));
        }
    }

    private void silenceWayToStore(SimulatedInstance instance) {
        mFaults.note("connections of " + instance.mHost.name() + " to the store go silent");
        mFleet.mStore.mDisruptions.silence(instance.process());
    }

    private void silenceWaysToServers(SimulatedInstance instance) {
        double share = drawShare();
        mFaults.note(
                percent(share)
                        + " of the connections of "
                        + instance.mHost.name()
                        + " to servers go silent");
        for (SimulatedServer server : mFleet.mServers.values()) {
            if (mTime.chance(share)) {
                mFleet.mNetwork.mCommandDisruptions.silence(instance.process(), server);
            }
        }
    }

    private void slow(SimulatedInstance instance) {
        long millis = mTime.between(300, 4000);
        long maxMicros = mTime.between(400, MAX_EVENT_MICROS);
        mFaults.note(
                instance.mHost.name()
                        + " is slow for "
                        + millis
                        + " ms, up to "
                        + maxMicros
                        + " us an event");
        instance.process().slow(millis, maxMicros);
    }

    private void slowMany() {
        double share = drawShare();
        for (SimulatedInstance instance : mFleet.upInstances()) {
            if (mTime.chance(share)) {
                slow(instance);
            }
        }
    }

    /** Lets a process run at the begin of each period only. */
    private void limitByQuota(SimulatedInstance instance) {
        long runMillis = mTime.between(10, 70);
        long periods = mTime.between(3, 50);
        mFaults.note(
                instance.mHost.name()
                        + " runs for "
                        + runMillis
                        + " ms of each "
                        + QUOTA_PERIOD_MILLIS
                        + " ms, "
                        + periods
                        + " times");
        SimulatedProcess process = instance.process();
        for (long period = 0; period < periods; period++) {
            mTime.after(
                    period * QUOTA_PERIOD_MILLIS + runMillis,
                    () -> process.pause(QUOTA_PERIOD_MILLIS - runMillis));
        }
    }

    private void delayCommands(CommandDisruptions.Kind kind) {
        double share = drawShare();
        long millis = mTime.between(200, 4000);
        String dataCentre = mTime.chance(0.5) ? mTime.oneOf(mDataCentres) : "";
        mFaults.note(
                percent(share)
                        + " of the commands of kind "
                        + kind
                        + " to servers of "
                        + (dataCentre.isEmpty() ? "all data centres" : dataCentre)
                        + " are late for "
                        + millis
                        + " ms");
        mFleet.mNetwork.mCommandDisruptions.delay(
                (server, each) ->
                        each == kind
                                && (dataCentre.isEmpty()
                                        || server.mHost.dataCentre().equals(dataCentre)),
                share,
                millis);
    }

    private List<SimulatedServer> upServers() {
        List<SimulatedServer> up = new ArrayList<>(mFleet.mServers.values());
        up.removeIf(server -> !server.mUp || server.mLeaving);
        return up.isEmpty() ? List.copyOf(mFleet.mServers.values()) : up;
    }

    private List<SimulatedServer> drawServers(List<SimulatedServer> servers, double share) {
        List<SimulatedServer> drawn = new ArrayList<>(servers);
        Collections.shuffle(drawn, mTime.mRandom);
        return drawn.subList(0, (int) Math.ceil(share * drawn.size()));
    }

    private long drawNoticeMillis() {
        return mTime.chance(0.6)
                ? MIN_NOTICE_MILLIS
                : mTime.between(MIN_NOTICE_MILLIS, MAX_NOTICE_MILLIS);
    }

    /** A server that leaves for good, in whose place another one comes. */
    private void leave(SimulatedServer server, long noticeMillis) {
        if (!server.mUp || server.mLeaving) {
            return;
        }
        mFaults.note(server.mId + " leaves in " + noticeMillis + " ms");
        server.mLeaving = true;
        mFleet.list(server);
        int life = server.mLife;
        mTime.after(
                noticeMillis,
                () -> {
                    if (server.mUp && server.mLife == life) {
                        mFaults.note(server.mId + " has left");
                        server.terminate();
                        mTime.after(mTime.between(0, 300), () -> removeEntry(server));
                    }
                });
        mTime.after(
                noticeMillis + REPLACEMENT_MILLIS,
                () -> {
                    SimulatedServer added =
                            mFleet.addServer(server.mHost.dataCentre(), server.mSlots);
                    mFaults.note(added.mId + " comes");
                    mFleet.list(added);
                });
    }

    private void removeEntry(SimulatedServer server) {
        if (!server.mUp) {
            mFleet.mStore.remove(SimulatedInstance.SERVERS_PREFIX + server.mId);
        }
    }

    private void reclaim() {
        String dataCentre = mTime.oneOf(mDataCentres);
        List<SimulatedServer> servers = new ArrayList<>(upServers());
        servers.removeIf(server -> !server.mHost.dataCentre().equals(dataCentre));
        long noticeMillis = drawNoticeMillis();
        drawServers(servers, drawShare()).forEach(server -> leave(server, noticeMillis));
    }

    /** Servers that go down and up again, each time as a new life of the same id. */
    private void flap() {
        long periodMillis = mTime.between(400, 2000);
        long times = mTime.between(2, 5);
        for (SimulatedServer server : drawServers(upServers(), mTime.between(5, 40) / 100.0)) {
            long downMillis = mTime.between(1, periodMillis - 1);
            for (long time = 0; time < times; time++) {
                mTime.after(time * periodMillis, () -> crash(server, downMillis));
            }
        }
    }

    private void crash(SimulatedServer server, long downMillis) {
        if (server.mUp && !server.mLeaving) {
            mFaults.note(server.mId + " crashes for " + downMillis + " ms");
            server.terminate();
            mTime.after(downMillis, () -> mFaults.begin(server));
        }
    }

    /** Servers that are cut off from the store, so that their entries lapse while they work. */
    private void delist() {
        for (SimulatedServer server : drawServers(upServers(), mTime.between(5, 60) / 100.0)) {
            long delayMillis = mTime.between(0, 300);
            long missingMillis = mTime.between(50, 5000);
            mTime.after(delayMillis, () -> delist(server, missingMillis));
        }
    }

    private void delist(SimulatedServer server, long missingMillis) {
        if (!server.mUp || mTime.nowMillis() - server.mListedMillis < ENTRY_LIFE_MILLIS) {
            return;
        }
        mFaults.note(server.mId + " is not listed for " + missingMillis + " ms");
        mFleet.mStore.remove(SimulatedInstance.SERVERS_PREFIX + server.mId);
        mTime.after(
                missingMillis,
                () -> {
                    if (server.mUp) {
                        mFleet.list(server);
                    }
                });
    }

    private void loseAnswersOfStore() {
        double share = drawShare();
        boolean areLate = mTime.chance(0.5);
        long millis = mTime.between(500, 5000);
        mFaults.note(
                percent(share)
                        + " of the writes are not answered for "
                        + millis
                        + " ms"
                        + (areLate ? ", done late" : ""));
        mFleet.mStore.mDisruptions.leaveUnanswered(share, areLate, millis);
    }

    private void compactStore() {
        mFaults.note("the store's watches hear nothing, then its history is dropped");
        mFleet.mStore.compactAfterSilence(mTime.between(500, 1500));
    }

    private void slowStore() {
        long factor = mTime.between(10, 60);
        long millis = mTime.between(1000, 5000);
        mFaults.note("the store is slow by " + factor + " for " + millis + " ms");
        mFleet.mStore.mDisruptions.slow(factor, millis);
    }

    private Set<String> drawInstances(double share) {
        Set<String> drawn = new HashSet<>();
        for (String name : mFleet.mInstances.keySet()) {
            if (mTime.chance(share)) {
                drawn.add(name);
            }
        }
        return drawn;
    }

    private void stop(SimulatedInstance instance) {
        if (!instance.isUp()) {
            return;
        }
        long graceMillis = mTime.chance(0.7) ? GRACE_MILLIS : mTime.between(800, GRACE_MILLIS);
        long downMillis = mTime.between(50, 800);
        mFaults.note(instance.mHost.name() + " is stopped as planned, grace " + graceMillis);
        instance.stop(
                graceMillis,
                () -> {
                    instance.kill();
                    mTime.after(downMillis, instance::start);
                });
        SimulatedProcess process = instance.process();
        mTime.after(
                graceMillis,
                () -> {
                    if (process.isAlive()) {
                        instance.kill();
                        mTime.after(downMillis, instance::start);
                    }
                });
    }

    /** Stops one instance after the other, the leader first, or two at a time. */
    private void stopInTurn(SimulatedInstance leader) {
        long gapMillis = mTime.between(800, 2000);
        int atOnce = Math.toIntExact(mTime.between(1, 2));
        List<SimulatedInstance> instances = new ArrayList<>(mFleet.upInstances());
        Collections.shuffle(instances, mTime.mRandom);
        instances.remove(leader);
        instances.add(0, leader);
        int count = (int) Math.ceil(drawShare() * instances.size());
        for (int number = 0; number < count; number++) {
            SimulatedInstance instance = instances.get(number);
            mTime.after(gapMillis * (number / atOnce), () -> stop(instance));
        }
    }

    /** Kills instances at once, whose machines may lose power, so that nothing refuses. */
    private void killMany() {
        double share = drawShare();
        boolean isPowerLost = mTime.chance(0.5);
        long downMillis = mTime.between(50, 6000);
        Set<String> killed = drawInstances(share);
        mFaults.note(
                killed
                        + (isPowerLost ? " lose power for " : " are killed for ")
                        + downMillis
                        + " ms");
        if (isPowerLost) {
            mFleet.mNetwork.cut(
                    (from, to) -> killed.contains(from.name()) || killed.contains(to.name()),
                    downMillis);
        }
        for (String name : killed) {
            SimulatedInstance instance = mFleet.mInstances.get(name);
            instance.kill();
            long startMillis = downMillis + mTime.between(0, 300);
            mTime.after(startMillis, instance::start);
        }
    }

    /** Cuts some instances off from the other ones; the store and the servers reach both. */
    private void splitInstances() {
        Set<String> one = drawInstances(mTime.chance(0.5) ? 0.5 : drawShare());
        cut(
                one + " from the other instances",
                (from, to) ->
                        one.contains(from.name())
                                && !one.contains(to.name())
                                && mFleet.mInstances.containsKey(to.name()));
    }

    /** Cuts one instance off from all others, or from all machines. */
    private void cutAndRefuse(SimulatedInstance instance) {
        boolean isCutFromAll = mTime.chance(0.3);
        cut(
                instance.mHost.name() + " from all " + (isCutFromAll ? "machines" : "instances"),
                (from, to) ->
                        from.equals(instance.mHost)
                                && !to.equals(instance.mHost)
                                && (isCutFromAll || mFleet.mInstances.containsKey(to.name())));
    }

    /** Cuts some servers off from some instances; some begin again behind the cut. */
    private void cutServers() {
        Set<String> instances = drawInstances(drawShare());
        Set<String> servers = new HashSet<>();
        for (SimulatedServer server : drawServers(upServers(), mTime.between(5, 50) / 100.0)) {
            servers.add(server.mHost.name());
            if (mTime.chance(0.2)) {
                mTime.after(mTime.between(0, 1000), () -> crash(server, mTime.between(1, 1500)));
            }
        }
        cut(
                servers + " from " + instances,
                (from, to) -> servers.contains(from.name()) && instances.contains(to.name()));
    }

    private void cut(String text, BiPredicate<SimulatedNetwork.Host, SimulatedNetwork.Host> links) {
        long millis = mFaults.drawCutMillis();
        boolean isReset = mTime.chance(0.4);
        boolean isRefusing = mTime.chance(0.4);
        if (isReset) {
            mFleet.mNetwork.reset(links);
        }
        if (isRefusing) {
            mFleet.mNetwork.refuse(links, millis);
        }
        mFaults.cut(
                text + (isReset ? ", resets" : "") + (isRefusing ? ", refuses" : ""),
                links,
                millis);
    }

    private void rejectAtStore(SimulatedInstance leader) {
        double share = drawShare();
        boolean isSilent = mTime.chance(0.5);
        long millis = mTime.between(500, 8000);
        boolean isRevoking = mTime.chance(0.5);
        Set<String> rejected = drawInstances(share);
        if (mTime.chance(0.5)) {
            rejected.add(leader.mHost.name());
        }
        mFaults.note(
                "the store "
                        + (isSilent ? "is silent to " : "refuses ")
                        + rejected
                        + " for "
                        + millis
                        + " ms"
                        + (isRevoking ? ", their keys are revoked" : ""));
        mFleet.mStore.mDisruptions.reject(host -> rejected.contains(host.name()), isSilent, millis);
        if (isRevoking) {
            rejected.forEach(
                    name -> mFleet.mStore.remove(SimulatedInstance.INSTANCES_PREFIX + name));
        }
    }
}
