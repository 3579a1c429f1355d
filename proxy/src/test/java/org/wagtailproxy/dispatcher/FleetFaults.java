package org.wagtailproxy.dispatcher;

import java.util.List;
import java.util.function.BiPredicate;
import org.wagtailproxy.wire.KeeperRecord;

/** Draws faults, which follow each other and overlap. */
final class FleetFaults {

    /** Words of the lines that explain a violation besides those of its job. */
    static final List<String> TRACED_WORDS =
            List.of(
                    "VIOLATION",
                    "fault",
                    "killed",
                    "starts",
                    "leader-followed",
                    "peer-lost",
                    "pool",
                    "heals",
                    "lapsed");

    private final FleetSimulation mFleet;
    private final Options mOptions;
    private final VirtualTime mTime;
    private final List<String> mDataCentres;
    private final FleetChanges mChanges;
    private final FleetDisruptions mDisruptions;
    private final long mMeanIntervalMillis;
    private boolean mEnded;

    /**
     * Determines which faults are drawn.
     *
     * @param suspends true if pauses stop the monotonic clock as well
     * @param aimsAtForwarders true if leaders that forward jobs are hit more often
     * @param changes true if the fleet and its clocks change as {@link FleetChanges} draws it, and
     *     if a pause that begins in another one prolongs it
     * @param contract true if the other disruptions that the platform allows are drawn, see {@link
     *     FleetDisruptions}
     */
    record Options(boolean suspends, boolean aimsAtForwarders, boolean changes, boolean contract) {

        Options(boolean suspends, boolean aimsAtForwarders) {
            this(suspends, aimsAtForwarders, false, false);
        }

        Options(boolean suspends, boolean aimsAtForwarders, boolean changes) {
            this(suspends, aimsAtForwarders, changes, false);
        }
    }

    FleetFaults(FleetSimulation fleet, List<String> dataCentres, Options options) {
        mFleet = fleet;
        mOptions = options;
        mTime = fleet.mTime;
        mDataCentres = dataCentres;
        mChanges = new FleetChanges(fleet, this, dataCentres);
        mDisruptions = new FleetDisruptions(fleet, this, dataCentres);
        mMeanIntervalMillis = mTime.between(100, 1000);
    }

    void schedule() {
        mTime.after(mTime.between(1300, 4000), this::drawNext);
    }

    /** Draws no further faults. */
    void end() {
        mEnded = true;
    }

    private void drawNext() {
        if (mEnded) {
            return;
        }
        mTime.after(mTime.between(1, 2 * mMeanIntervalMillis), this::drawNext);
        drawOne();
    }

    private void drawOne() {
        List<SimulatedInstance> up = mFleet.upInstances();
        List<SimulatedInstance> leaders = up.stream().filter(SimulatedInstance::isLeader).toList();
        if (up.size() < 3) {
            return;
        }
        SimulatedInstance any = mTime.oneOf(up);
        SimulatedInstance leader = leaders.isEmpty() ? any : mTime.oneOf(leaders);
        SimulatedInstance target = mTime.chance(0.5) ? leader : any;
        SimulatedInstance other = mTime.chance(0.5) ? leader : mTime.oneOf(up);
        if (mOptions.contract() && mTime.chance(0.5)) {
            mDisruptions.draw(leader, target);
            if (mTime.chance(0.4)) {
                mTime.after(mTime.between(0, 500), this::drawOne);
            }
            return;
        }
        if (mOptions.changes() && mTime.chance(0.4)) {
            mChanges.draw(leader, target);
            return;
        }
        List<Runnable> faults =
                List.of(
                        () -> kill(target),
                        () -> killSuccessiveLeaders(leader),
                        () -> killLeaders(leaders),
                        () -> pause(target),
                        this::cutDataCentre,
                        () -> cutLink(any, other),
                        () -> cutFromInstances(mTime.chance(0.8) ? leader : any),
                        () -> cutFromStore(target),
                        this::stopStore,
                        this::writeOddGuard,
                        this::restartServer,
                        () -> cutServer(target),
                        mFleet.mNetwork::resetOneConnection);
        if (mOptions.aimsAtForwarders() && leaders.size() > 1 && mTime.chance(0.5)) {
            harmForwarder(leaders);
            return;
        }
        mTime.oneOf(faults).run();
    }

    /** Pauses one leader or two, and cuts, kills or leaves the way between them. */
    private void harmForwarder(List<SimulatedInstance> leaders) {
        SimulatedInstance one = mTime.oneOf(leaders);
        SimulatedInstance other = mTime.oneOf(leaders);
        pause(one);
        if (mTime.chance(0.4)) {
            mTime.after(mTime.between(0, 600), () -> cutLink(one, other));
        }
        if (mTime.chance(0.3)) {
            mTime.after(mTime.between(0, 600), () -> ifUp(other, () -> pause(other)));
        }
        if (mTime.chance(0.3)) {
            mTime.after(mTime.between(0, 1500), () -> ifUp(other, () -> kill(other)));
        }
    }

    static void ifUp(SimulatedInstance instance, Runnable fault) {
        if (instance.isUp()) {
            fault.run();
        }
    }

    void note(String text) {
        mTime.note("fault: " + text);
    }

    void kill(SimulatedInstance instance) {
        instance.kill();
        long downMillis = mTime.chance(0.5) ? mTime.between(50, 800) : mTime.between(800, 8000);
        mTime.after(downMillis, instance::start);
    }

    void killSuccessiveLeaders(SimulatedInstance first) {
        kill(first);
        for (int number = 0; number < 2; number++) {
            mTime.after(
                    mTime.between(1, 400),
                    () ->
                            mFleet.upInstances().stream()
                                    .filter(SimulatedInstance::isLeader)
                                    .filter(each -> isSameDataCentre(each, first))
                                    .findFirst()
                                    .ifPresent(this::kill));
        }
    }

    private static boolean isSameDataCentre(SimulatedInstance one, SimulatedInstance other) {
        return one.mHost.dataCentre().equals(other.mHost.dataCentre());
    }

    /** Kills leaders of several data centres, so also both of a forwarded job. */
    private void killLeaders(List<SimulatedInstance> leaders) {
        leaders.forEach(
                leader -> {
                    if (mTime.chance(0.6)) {
                        mTime.after(mTime.between(0, 300), () -> kill(leader));
                    }
                });
    }

    private void pause(SimulatedInstance instance) {
        long millis = mTime.between(100, 2500);
        // Older seeds were drawn for a fleet that leaves out such pauses.
        if (mOptions.suspends() && !mOptions.changes() && instance.process().isPaused()) {
            note(instance.mHost.name() + " is paused already");
            return;
        }
        note(instance.mHost.name() + " pauses for " + millis + " ms");
        if (mOptions.suspends()) {
            instance.process().suspend(millis);
        } else {
            instance.process().pause(millis);
        }
    }

    private void cut(String text, BiPredicate<SimulatedNetwork.Host, SimulatedNetwork.Host> one) {
        cut(text, one, drawCutMillis());
    }

    long drawCutMillis() {
        return mTime.chance(0.6) ? mTime.between(50, 1500) : mTime.between(1500, 6000);
    }

    void cut(
            String text,
            BiPredicate<SimulatedNetwork.Host, SimulatedNetwork.Host> one,
            long millis) {
        int direction = mTime.mRandom.nextInt(4);
        String kind = direction == 0 ? " one way" : direction == 1 ? " the other way" : "";
        note("cut" + kind + " for " + millis + " ms: " + text);
        mFleet.mNetwork.cut(
                (from, to) ->
                        direction != 1 && one.test(from, to)
                                || direction != 0 && one.test(to, from),
                millis);
    }

    private void cutDataCentre() {
        String dataCentre = mTime.oneOf(mDataCentres);
        boolean includesStore = mTime.chance(0.5);
        cut(
                dataCentre + (includesStore ? " and its way to the store" : ""),
                (from, to) ->
                        from.dataCentre().equals(dataCentre)
                                && !to.dataCentre().equals(dataCentre)
                                && (includesStore || !to.equals(SimulatedStore.HOST)));
    }

    private void cutLink(SimulatedInstance one, SimulatedInstance other) {
        cut(
                one.mHost.name() + " from " + other.mHost.name(),
                (from, to) -> from.equals(one.mHost) && to.equals(other.mHost));
    }

    /** Leaves the ways to the servers and to the store. */
    private void cutFromInstances(SimulatedInstance instance) {
        cut(
                instance.mHost.name() + " from all instances",
                (from, to) ->
                        from.equals(instance.mHost) && mFleet.mInstances.containsKey(to.name()));
    }

    private void cutFromStore(SimulatedInstance instance) {
        cut(
                instance.mHost.name() + " from the store",
                (from, to) -> from.equals(instance.mHost) && to.equals(SimulatedStore.HOST));
    }

    private void cutServer(SimulatedInstance instance) {
        SimulatedServer server = mTime.oneOf(List.copyOf(mFleet.mServers.values()));
        boolean isCutFromAll = mTime.chance(0.4);
        cut(
                server.mId + " from " + (isCutFromAll ? "all" : instance.mHost.name()),
                (from, to) ->
                        from.equals(server.mHost) && (isCutFromAll || to.equals(instance.mHost)));
    }

    private void stopStore() {
        if (mFleet.mStore.mDown) {
            return;
        }
        long millis = mTime.between(200, 7000);
        boolean expiresLeases = mTime.chance(0.3);
        note("store down for " + millis + " ms" + (expiresLeases ? ", leases expire" : ""));
        mFleet.mStore.mDown = true;
        mTime.after(
                millis,
                () -> {
                    mFleet.mStore.mDown = false;
                    if (expiresLeases) {
                        mFleet.mStore.expireLeases();
                    }
                });
    }

    /** An undecodable guard, which some instances read late. */
    private void writeOddGuard() {
        if (mFleet.hasStoredJobs()) {
            note("the guard of stored jobs stays as it is");
            return;
        }
        note("undecodable guard");
        mFleet.mStore.mGuardLossRate = mTime.chance(0.5) ? 0.5 : 0;
        mFleet.mStore.put(CoordinatorTerm.GUARD_KEY, new byte[] {(byte) 0xff, (byte) 0xff});
        mTime.after(
                mTime.between(200, 6000),
                () -> {
                    note("guard without jobs");
                    KeeperRecord none =
                            KeeperRecord.newBuilder().setJobs(KeeperRecord.Jobs.NONE).build();
                    mFleet.mStore.put(CoordinatorTerm.GUARD_KEY, none.toByteArray());
                    mFleet.mStore.mGuardLossRate = 0;
                });
    }

    private void restartServer() {
        SimulatedServer server = mTime.oneOf(List.copyOf(mFleet.mServers.values()));
        if (!server.mUp) {
            return;
        }
        note(server.mId + " stops");
        server.terminate();
        long downMillis = mTime.chance(0.5) ? mTime.between(1, 100) : mTime.between(1000, 6000);
        String key = SimulatedInstance.SERVERS_PREFIX + server.mId;
        mTime.after(
                4500,
                () -> {
                    if (!server.mUp) {
                        mFleet.mStore.remove(key);
                    }
                });
        mTime.after(downMillis, () -> begin(server));
    }

    void begin(SimulatedServer server) {
        if (!server.mUp) {
            note(server.mId + " begins");
            server.begin();
            mTime.after(mTime.between(0, 500), () -> mFleet.list(server));
        }
    }
}
