package org.wagtailproxy.dispatcher;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.function.LongSupplier;
import org.wagtailproxy.fleet.ServerEntry;
import org.wagtailproxy.fleet.ServerId;
import org.wagtailproxy.identity.DataCentre;
import org.wagtailproxy.identity.HostAddress;
import org.wagtailproxy.identity.Incarnation;
import org.wagtailproxy.leadership.InstanceName;
import org.wagtailproxy.leadership.InstanceRecord;
import org.wagtailproxy.observe.EventLog;
import org.wagtailproxy.observe.MetricsRecorder;
import org.wagtailproxy.scheduling.LeaseTiming;
import org.wagtailproxy.scheduling.SchedulerTuning;
import org.wagtailproxy.store.LeasedItem;
import org.wagtailproxy.store.StoreItem;
import org.wagtailproxy.store.StoreMirror;
import org.wagtailproxy.store.VersionedStore;

/** An instance whose dispatcher is fed from the store as the platform's adapter feeds it. */
final class SimulatedInstance {

    static final String INSTANCES_PREFIX = "instances/";
    static final String SERVERS_PREFIX = "servers/";

    /** Ends the value of a server's entry that says that the server leaves. */
    static final String LEAVING = " leaves";

    private static final long SERVERS_WATCH_MILLIS = 2500;
    private static final long INSTANCES_WATCH_MILLIS = 8000;
    private static final long INSTANCES_BATCH_DELAY_MILLIS = 200;
    private static final long LEADER_SERVERS_BATCH_DELAY_MILLIS = 800;
    private static final long FOLLOWER_SERVERS_BATCH_DELAY_MILLIS = 4000;
    private static final long RECENT_SERVERS_MILLIS = 300;

    private static final long UNREADY_DETECTION_MILLIS = 2300;
    private static final long STOP_MARGIN_MILLIS = 700;
    private static final long STOP_POLL_MILLIS = 25;

    final SimulatedNetwork.Host mHost;
    final HostAddress mAddress;
    private final VirtualTime mTime;
    private final SimulatedNetwork mNetwork;
    private final SimulatedStore mStore;
    private final Map<ServerId, SimulatedServer> mServers;
    private final Map<String, SimulatedInstance> mInstances;
    private Life mLife;
    private int mLives;
    private boolean mRetired;
    private Runnable mOnLeader = () -> {};
    private Runnable mOnCallersDoubted = () -> {};

    SimulatedInstance(
            VirtualTime time,
            SimulatedNetwork network,
            SimulatedStore store,
            Map<ServerId, SimulatedServer> servers,
            Map<String, SimulatedInstance> instances,
            SimulatedNetwork.Host host) {
        mTime = time;
        mNetwork = network;
        mStore = store;
        mServers = servers;
        mInstances = instances;
        mHost = host;
        mAddress = HostAddress.of("10.1.0." + (instances.size() + 1), 7000);
        network.addHost(mAddress, host);
    }

    boolean isUp() {
        return mLife != null;
    }

    boolean isLeader() {
        return isUp() && mLife.mDispatcher.isLeader();
    }

    SimulatedProcess process() {
        return mLife.mProcess;
    }

    Dispatcher dispatcher() {
        return mLife.mDispatcher;
    }

    void start() {
        if (!isUp() && !mRetired) {
            mLives++;
            mTime.note(mHost.name() + " starts");
            mLife = new Life();
            mLife.start();
        }
    }

    void kill() {
        if (isUp()) {
            mTime.note(mHost.name() + " is killed" + (isLeader() ? " as leader" : ""));
            SimulatedProcess process = mLife.mProcess;
            mLife = null;
            process.kill();
            mNetwork.onKilled(process);
        }
    }

    /** Stops the instance as planned, within a grace period, and then runs work. */
    void stop(long graceMillis, Runnable stopped) {
        Life life = mLife;
        mTime.note(mHost.name() + " is stopped");
        life.mProcess.execute(() -> life.drain(graceMillis, stopped));
    }

    /** Ends the instance for good. */
    void retire() {
        mRetired = true;
        kill();
    }

    boolean isRetired() {
        return mRetired;
    }

    /** Sets what is run whenever the instance becomes leader. */
    void onLeader(Runnable work) {
        mOnLeader = work;
    }

    /** Sets what withdraws the jobs of callers that have disconnected. */
    void onCallersDoubted(Runnable work) {
        mOnCallersDoubted = work;
    }

    private InstanceRecord instanceRecord(long seniority) {
        return new InstanceRecord(
                InstanceName.of(mHost.name()),
                DataCentre.of(mHost.dataCentre()),
                mAddress,
                1000,
                seniority);
    }

    /** One life of the process. */
    private final class Life implements Dispatcher.Listener {
        private final SimulatedProcess mProcess = new SimulatedProcess(mTime, mHost);
        private final VersionedStore mClient = mStore.clientOf(mProcess);
        private final Dispatcher mDispatcher = newDispatcher();
        private final ServerDirectory mDirectory =
                ServerDirectory.of(mProcess, new DirectoryListener());
        private LeasedItem mRegistration;
        private StoreMirror mServersMirror;
        private boolean mDraining;
        private boolean mConfirming;
        private boolean mDoubtedAgain;

        private Dispatcher newDispatcher() {
            DispatcherSettings settings =
                    new DispatcherSettings(
                            InstanceName.of(mHost.name()),
                            Incarnation.of(mHost.name().hashCode(), mLives),
                            DataCentre.of(mHost.dataCentre()),
                            mAddress,
                            1000,
                            LeaseTiming.of(1000),
                            SchedulerTuning.defaults());
            DispatcherContext context =
                    new DispatcherContext(
                            mProcess,
                            mNetwork.transport(mProcess),
                            new SimulatedCommands(mTime, mNetwork, mProcess, mServers),
                            mClient);
            EventLog log =
                    EventLog.of(
                            mHost.name(),
                            mHost.dataCentre(),
                            Integer.toString(mLives),
                            (level, message, cause) -> noteEvent(message.getData()));
            return Dispatcher.start(settings, context, log, new MetricsRecorder(), this);
        }

        private void noteEvent(Map<String, String> event) {
            StringBuilder line = new StringBuilder(mHost.name() + " " + event.get("event"));
            event.forEach(
                    (key, value) -> {
                        if (!List.of("event", "atMillis", "instance", "dataCentre", "incarnation")
                                .contains(key)) {
                            line.append(' ').append(key).append('=').append(value);
                        }
                    });
            mTime.note(line.toString());
        }

        private void start() {
            mProcess.execute(
                    () -> {
                        mRegistration =
                                LeasedItem.start(
                                        mProcess,
                                        mClient,
                                        INSTANCES_PREFIX + mHost.name(),
                                        mHost.name().getBytes(StandardCharsets.UTF_8),
                                        mDispatcher::onRegistered);
                        mServersMirror = mirror(SERVERS_PREFIX, SERVERS_WATCH_MILLIS);
                        mirror(INSTANCES_PREFIX, INSTANCES_WATCH_MILLIS);
                    });
        }

        private void drain(long graceMillis, Runnable stopped) {
            if (mDraining) {
                return;
            }
            mDraining = true;
            mDispatcher.drain();
            awaitStop(mProcess.nowNanos(), graceMillis, stopped);
        }

        /** Ends as the platform's adapter does once it is idle or the grace period is over. */
        private void awaitStop(long sinceNanos, long graceMillis, Runnable stopped) {
            long millis = (mProcess.nowNanos() - sinceNanos) / 1_000_000;
            boolean isIdle = mDispatcher.openJobs() == 0 && millis > UNREADY_DETECTION_MILLIS;
            if (!isIdle && millis <= graceMillis - STOP_MARGIN_MILLIS) {
                mProcess.schedule(
                        STOP_POLL_MILLIS, () -> awaitStop(sinceNanos, graceMillis, stopped));
                return;
            }
            mRegistration.remove();
            mDispatcher.abandonJobs();
            mProcess.schedule(STOP_POLL_MILLIS, stopped);
        }

        private StoreMirror mirror(String prefix, long watchMillis) {
            boolean isServers = prefix.equals(SERVERS_PREFIX);
            LongSupplier delay =
                    () ->
                            !isServers
                                    ? INSTANCES_BATCH_DELAY_MILLIS
                                    : mDispatcher.isLeader()
                                            ? LEADER_SERVERS_BATCH_DELAY_MILLIS
                                            : FOLLOWER_SERVERS_BATCH_DELAY_MILLIS;
            return StoreMirror.start(
                    mProcess,
                    mClient,
                    prefix,
                    watchMillis,
                    delay,
                    isServers ? new ServersListener() : new InstancesListener());
        }

        @Override
        public void onNewerConfiguration(byte[] document) {
            // The fleet has no configuration.
        }

        @Override
        public void onCallersDoubted() {
            mOnCallersDoubted.run();
        }

        @Override
        public void onBecameLeader() {
            mOnLeader.run();
            boolean isDue =
                    mServersMirror != null
                            && mServersMirror.confirmedAgeMillis() >= RECENT_SERVERS_MILLIS;
            if (isDue && !mServersMirror.refreshNow()) {
                onServerListDoubted();
            }
        }

        @Override
        public void onServerListDoubted() {
            if (mServersMirror == null) {
                return;
            }
            if (mConfirming) {
                mDoubtedAgain = true;
                return;
            }
            mConfirming = true;
            long askedNanos = mProcess.nowNanos();
            mServersMirror.readChanges(
                    confirmed -> {
                        mConfirming = false;
                        if (confirmed) {
                            mDispatcher.serverList().onConfirmed(askedNanos);
                        } else {
                            mDispatcher.serverList().onUnavailable();
                        }
                        if (mDoubtedAgain) {
                            mDoubtedAgain = false;
                            onServerListDoubted();
                        }
                    });
        }

        /** Passes the backend servers on to the dispatcher. */
        private final class DirectoryListener implements ServerDirectory.Listener {

            @Override
            public void onEntriesChanged(Collection<ServerEntry> entries) {
                mDispatcher.updateServers(entries);
            }

            @Override
            public void onOutdatedChanged(boolean outdated) {
                mDispatcher.serverList().updateOutdated(outdated);
            }
        }

        /** Applies changes of the backend servers. */
        private final class ServersListener implements StoreMirror.Listener {

            @Override
            public void onChanged(StoreMirror mirror) {
                List<ServerEntry> entries = new ArrayList<>();
                for (StoreItem item : mirror.items()) {
                    String value = new String(item.value(), StandardCharsets.UTF_8);
                    ServerId id = ServerId.of(value.replace(LEAVING, ""));
                    entries.add(mServers.get(id).entry(value.endsWith(LEAVING)));
                }
                mDirectory.updateEntries(entries);
            }

            @Override
            public void onReachabilityChanged(StoreMirror mirror, boolean reachable) {
                mDispatcher.updateStoreReachable(reachable);
                mDirectory.updateStoreReachable(reachable);
                if (reachable) {
                    onItemsMissed(mirror);
                } else {
                    mDispatcher.serverList().onUnavailable();
                }
            }

            @Override
            public void onItemsMissed(StoreMirror mirror) {
                mDispatcher.serverList().onTrackedSince(mProcess.nowNanos());
            }

            @Override
            public void onConfirmed(StoreMirror mirror, long askedNanos) {
                mDispatcher.serverList().onConfirmed(askedNanos);
            }
        }

        /** Applies changes of the registrations and restores the own one. */
        private final class InstancesListener implements StoreMirror.Listener {

            @Override
            public void onChanged(StoreMirror mirror) {
                List<InstanceRecord> records = new ArrayList<>();
                boolean isRegistered = false;
                for (StoreItem item : mirror.items()) {
                    String name = new String(item.value(), StandardCharsets.UTF_8);
                    records.add(mInstances.get(name).instanceRecord(item.revision()));
                    isRegistered |= name.equals(mHost.name());
                }
                if (!isRegistered) {
                    mRegistration.onMissing();
                }
                mDispatcher.updateInstances(records);
            }

            @Override
            public void onReachabilityChanged(StoreMirror mirror, boolean reachable) {
                // The mirror of the servers reports it.
            }
        }
    }
}
