package org.wagtailproxy.dispatcher;

import io.vavr.control.Option;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import java.util.function.Function;
import java.util.function.LongSupplier;
import org.wagtailproxy.fleet.Evacuations;
import org.wagtailproxy.fleet.ServerEntry;
import org.wagtailproxy.fleet.ServerId;
import org.wagtailproxy.identity.ServiceName;
import org.wagtailproxy.scheduling.ActionPermissions;
import org.wagtailproxy.scheduling.ClaimMode;
import org.wagtailproxy.scheduling.FencingTokenSource;
import org.wagtailproxy.scheduling.SchedulerListener;
import org.wagtailproxy.scheduling.SchedulerState;
import org.wagtailproxy.scheduling.ServiceScheduler;
import org.wagtailproxy.scheduling.StoredJobScheduling;
import org.wagtailproxy.workload.DataCentreScope;

/**
 * The schedulers of all services of a leader, and what they have in common: the backend servers,
 * their claim modes and what is known of the fleet. A scheduler is created when its service is
 * first named, and gets the same information as the others. Confined to the event loop.
 */
final class ServiceSchedulers {

    private final DispatcherSettings mSettings;
    private final FencingTokenSource mTokens;
    private final SchedulerListener mListener;
    private final ActionPermissions mPermissions;
    private final BooleanSupplier mAreStoredJobsRead;
    private final LongSupplier mClock;
    private final Map<ServiceName, ServiceScheduler> mSchedulers = new TreeMap<>();
    private Collection<ServerEntry> mServers = List.of();
    private DataCentreScope mScope = DataCentreScope.ALL;
    private Evacuations mEvacuations = Evacuations.UNKNOWN;
    private Function<ServerEntry, ClaimMode> mClaimModes = entry -> ClaimMode.NONE;
    private long mServersIncompleteUntilNanos = Long.MIN_VALUE;

    /** Whether there may be stored jobs that have not been read; assumed until the first tick. */
    private boolean mUnreadJobsPossible = true;

    private long mStoredJobsKnownNanos = Long.MIN_VALUE / 2;
    private long mFormerCoordinatorEndedNanos = StoredJobScheduling.NOT_ENDED_NANOS;

    /**
     * Creates the schedulers of no service.
     *
     * @param listener is notified of the decisions of all schedulers
     * @param permissions decides what may be done at a time
     * @param areStoredJobsRead checks whether this instance has read all stored jobs
     * @param clock returns the monotonic time in nanoseconds
     */
    ServiceSchedulers(
            DispatcherSettings settings,
            FencingTokenSource tokens,
            SchedulerListener listener,
            ActionPermissions permissions,
            BooleanSupplier areStoredJobsRead,
            LongSupplier clock) {
        mSettings = settings;
        mTokens = tokens;
        mListener = listener;
        mPermissions = permissions;
        mAreStoredJobsRead = areStoredJobsRead;
        mClock = clock;
    }

    /** Returns the scheduler of a service. */
    ServiceScheduler get(ServiceName service) {
        ServiceScheduler existing = mSchedulers.get(service);
        return existing == null ? add(service) : existing;
    }

    private ServiceScheduler add(ServiceName service) {
        long nowNanos = mClock.getAsLong();
        ServiceScheduler scheduler =
                ServiceScheduler.of(
                        mSettings.timing(), mTokens, mSettings.tuning(), mPermissions, mListener);
        mSchedulers.put(service, scheduler);
        scheduler.inheritedJobs().updateScope(mScope);
        scheduler.evacuation().update(mEvacuations);
        updateServersOf(service, scheduler);
        scheduler.inheritedJobs().assumeIncompleteServerList(mServersIncompleteUntilNanos);
        scheduler.storedJobs().setUnreadJobsPossible(mUnreadJobsPossible, nowNanos);
        scheduler.storedJobs().recordFormerCoordinatorEnded(mFormerCoordinatorEndedNanos);
        if (mAreStoredJobsRead.getAsBoolean()) {
            scheduler.storedJobs().onAllRead(mStoredJobsKnownNanos, nowNanos);
        }
        return scheduler;
    }

    /** Returns the schedulers in the order of their services. */
    Collection<ServiceScheduler> all() {
        return mSchedulers.values();
    }

    void forEach(Consumer<ServiceScheduler> action) {
        mSchedulers.values().forEach(action);
    }

    /** Finds the entry of a backend server, none if it is not listed. */
    Option<ServerEntry> findServer(ServerId id) {
        return Option.ofOptional(
                mServers.stream().filter(entry -> entry.id().equals(id)).findFirst());
    }

    /** Updates the backend servers of the pool. */
    void updateServers(Collection<ServerEntry> entries) {
        mServers = entries;
        entries.forEach(entry -> get(entry.service()));
        updateServersOfAll();
    }

    /** Passes the backend servers on again, after the schedulers have removed theirs. */
    void updateServersOfAll() {
        mSchedulers.forEach(this::updateServersOf);
    }

    private void updateServersOf(ServiceName service, ServiceScheduler scheduler) {
        List<ServerEntry> serviceServers = new ArrayList<>();
        for (ServerEntry entry : mServers) {
            if (entry.service().equals(service)) {
                serviceServers.add(entry);
            }
        }
        scheduler.updateServers(serviceServers, mClock.getAsLong());
        scheduler.updateClaims(mClaimModes);
    }

    /** Updates the claim mode of each backend server. */
    void updateClaimModes(Function<ServerEntry, ClaimMode> claimModes) {
        mClaimModes = claimModes;
        forEach(scheduler -> scheduler.updateClaims(claimModes));
    }

    /** Updates the data centres whose backend servers get no new tasks. */
    void updateEvacuations(Evacuations evacuations) {
        mEvacuations = evacuations;
        forEach(scheduler -> scheduler.evacuation().update(evacuations));
    }

    /** Updates the data centres whose backend servers this instance may use. */
    void updateScope(DataCentreScope scope) {
        mScope = scope;
        forEach(scheduler -> scheduler.inheritedJobs().updateScope(scope));
    }

    /** Records that jobs may run on servers that are not listed here if they come until a time. */
    void assumeIncompleteServerList(long untilNanos) {
        mServersIncompleteUntilNanos = untilNanos;
        forEach(scheduler -> scheduler.inheritedJobs().assumeIncompleteServerList(untilNanos));
    }

    /** Sets whether there may be stored jobs that have not been read. */
    void setUnreadJobsPossible(boolean possible) {
        mUnreadJobsPossible = possible;
        forEach(
                scheduler ->
                        scheduler.storedJobs().setUnreadJobsPossible(possible, mClock.getAsLong()));
    }

    /** Records since when no former coordinator starts tasks of stored jobs. */
    void recordFormerCoordinatorEnded(long sinceNanos) {
        mFormerCoordinatorEndedNanos = sinceNanos;
        forEach(scheduler -> scheduler.storedJobs().recordFormerCoordinatorEnded(sinceNanos));
    }

    /** Records that all stored jobs have been added that had been accepted at a time. */
    void onStoredJobsRead(long knownNanos) {
        mStoredJobsKnownNanos = knownNanos;
        forEach(scheduler -> scheduler.storedJobs().onAllRead(knownNanos, mClock.getAsLong()));
    }

    /** Checks whether servers list ends of jobs that may be stored ones and have not been read. */
    boolean hasUnreadEnds() {
        return all().stream().anyMatch(scheduler -> scheduler.storedJobs().hasUnreadEnds());
    }

    /** Stops and removes all stored jobs. */
    void abandonStoredJobs() {
        forEach(scheduler -> scheduler.storedJobs().abandonAll(mClock.getAsLong()));
    }

    /** Returns the state of the scheduler of each service. */
    List<SchedulerState> state() {
        List<SchedulerState> states = new ArrayList<>();
        forEach(scheduler -> states.add(scheduler.state(mClock.getAsLong())));
        return states;
    }

    /**
     * Returns the longest estimated wait over all services for a job that arrived now, in
     * milliseconds.
     */
    long maxEstimatedWaitMillis() {
        double maxWaitMillis = 0;
        for (ServiceScheduler scheduler : all()) {
            maxWaitMillis =
                    Math.max(maxWaitMillis, scheduler.estimatedWaitMillis(mClock.getAsLong()));
        }
        return Math.round(Math.ceil(maxWaitMillis));
    }
}
