package org.wagtailproxy.dispatch;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.TreeMap;
import java.util.random.RandomGenerator;
import org.wagtailproxy.identity.DataCentre;
import org.wagtailproxy.identity.JobName;
import org.wagtailproxy.identity.Names;
import org.wagtailproxy.identity.TeamName;

/**
 * Assigns the queued tasks of one service to its backend servers.
 *
 * <p>Time and randomness are passed in, and the caller sends the assigned tasks. Not thread-safe;
 * the owner synchronizes access.
 */
public final class ServiceDispatch {

    /** At most one backend server out of this number is ejected. */
    private static final int MIN_SERVERS_PER_EJECTED = 3;

    private static final int PERCENT = 100;

    private final DataCentre mDataCentre;
    private final TeamQuotas mQuotas;
    private final RandomGenerator mRandom;
    private final FairQueue mQueue = new FairQueue();
    private final Map<BackendServerId, BackendServerState> mServers = new TreeMap<>();
    private final Map<DataCentre, Integer> mBorrowedByDataCentre = new HashMap<>();
    private final Map<TaskRef, DataCentre> mBorrowedTasks = new HashMap<>();
    private DispatchTuning mTuning;
    private DispatchPolicy mPolicy;
    private ShareView mShareView = ShareView.alone();

    private ServiceDispatch(
            DataCentre dataCentre,
            DispatchTuning tuning,
            TeamQuotas quotas,
            RandomGenerator random) {
        mDataCentre = dataCentre;
        mQuotas = quotas;
        mRandom = random;
        mTuning = tuning;
        mPolicy = tuning.policy().createPolicy(dataCentre, tuning, random);
    }

    /**
     * Creates the dispatch of a service without backend servers.
     *
     * @param dataCentre the data centre of this instance, not null
     * @param tuning the dispatch settings, not null
     * @param quotas the teams' quotas, shared by all services, not null
     * @param random the source of randomness, not null
     * @return the dispatch, never null
     */
    public static ServiceDispatch of(
            DataCentre dataCentre,
            DispatchTuning tuning,
            TeamQuotas quotas,
            RandomGenerator random) {
        Objects.requireNonNull(dataCentre, "dataCentre");
        Objects.requireNonNull(quotas, "quotas");
        return new ServiceDispatch(dataCentre, tuning, quotas, random);
    }

    /**
     * Updates the dispatch settings.
     *
     * @param tuning the new dispatch settings, not null
     */
    public void updateTuning(DispatchTuning tuning) {
        if (!tuning.equals(mTuning)) {
            mTuning = tuning;
            mPolicy = tuning.policy().createPolicy(mDataCentre, tuning, mRandom);
            applyShares();
        }
    }

    /**
     * Updates the backend servers from the platform's list. A server that is no longer listed is
     * marked as leaving while it has tasks in flight, and is removed otherwise.
     *
     * @param listings all backend servers of the service, not null; a server that is missing
     *     receives no new tasks
     * @param nowNanos the monotonic time in nanoseconds
     */
    public void updateServers(List<BackendServerListing> listings, long nowNanos) {
        Map<BackendServerId, BackendServerState> updated = new TreeMap<>();
        double assumedSlowdown = medianSlowdown();
        for (BackendServerListing listing : listings) {
            BackendServerState server = mServers.get(listing.id());
            if (server == null) {
                server = new BackendServerState(listing, nowNanos);
                server.assumeSlowdown(assumedSlowdown);
            }
            server.updateListing(listing);
            updated.put(listing.id(), server);
        }
        for (BackendServerState server : mServers.values()) {
            if (server.inFlight() > 0 && !updated.containsKey(server.id())) {
                server.updateListing(server.listing().asLeaving());
                updated.put(server.id(), server);
            }
        }
        mServers.clear();
        mServers.putAll(updated);
        applyShares();
    }

    /**
     * Updates the shares from the demand of all instances.
     *
     * @param shares the demand of all instances as known here, not null
     */
    public void updateShares(ShareView shares) {
        mShareView = Objects.requireNonNull(shares, "shares");
        applyShares();
    }

    /**
     * Queues a task.
     *
     * @param task the task, not null
     */
    public void enqueue(QueuedTask task) {
        mQueue.addLast(task);
    }

    /**
     * Checks whether the queue has capacity for more tasks.
     *
     * @param tasks the number of tasks
     * @return true if they fit
     */
    public boolean hasQueueCapacity(int tasks) {
        return mQueue.size() + tasks <= mTuning.queueLimit();
    }

    /**
     * Checks whether the service has any backend server that is not leaving.
     *
     * @return true if there is one
     */
    public boolean hasServer() {
        return mServers.values().stream().anyMatch(server -> !server.listing().leaving());
    }

    /**
     * Removes the tasks that are to be sent now from the queue and assigns them. Each counts as in
     * flight from now on.
     *
     * @param nowNanos the monotonic time in nanoseconds
     * @return the assignments, empty if every task has to wait
     */
    public List<Assignment> assign(long nowNanos) {
        List<Assignment> assignments = new ArrayList<>();
        while (mQueue.size() > 0) {
            Optional<QueuedTask> task =
                    mQueue.peek(
                            mQuotas::hasCapacity,
                            mQuotas::weight,
                            mPolicy.ordersByResponseRatio(),
                            nowNanos);
            if (task.isEmpty()) {
                break;
            }
            Optional<BackendServerState> server = choose(nowNanos);
            if (server.isEmpty() || !mQuotas.tryAcquire(task.get().team())) {
                break;
            }
            start(task.get(), server.get());
            assignments.add(Assignment.of(task.get(), server.get().id()));
        }
        return assignments;
    }

    /**
     * Records the result of a task that was sent.
     *
     * @param assignment the task and its backend server, not null
     * @param result the result, not null
     * @param tookNanos the time until the result in nanoseconds
     * @param nowNanos the monotonic time in nanoseconds
     */
    public void onResult(Assignment assignment, SendResult result, long tookNanos, long nowNanos) {
        BackendServerState server = release(assignment);
        if (server == null) {
            return;
        }
        switch (result) {
            case ANSWERED -> server.onAnswered(tookNanos, assignment.task().declaredMilliseconds());
            case REFUSED -> server.onRefused(nowNanos);
            default -> server.onFailed(mayEject(), nowNanos);
        }
    }

    /**
     * Releases an assignment of which nothing was sent.
     *
     * @param assignment the task and its backend server, not null
     */
    public void abandon(Assignment assignment) {
        BackendServerState server = release(assignment);
        if (server != null) {
            server.onAbandoned();
        }
    }

    /**
     * Requeues a task that was not run, before the tasks of its team with a similar declared run
     * time.
     *
     * @param task the task, not null
     */
    public void requeue(QueuedTask task) {
        mQueue.addFirst(task.withAnotherAttempt());
    }

    /**
     * Removes the queued tasks of a job.
     *
     * @param job the job, not null
     * @return the number of removed tasks
     */
    public int removeJob(JobName job) {
        return mQueue.removeJob(job);
    }

    /**
     * Removes the tasks whose deadline has passed while they waited.
     *
     * @param nowNanos the monotonic time in nanoseconds
     * @return the tasks, never null
     */
    public List<QueuedTask> removeExpired(long nowNanos) {
        return mQueue.removeExpired(nowNanos);
    }

    /**
     * Counts the tasks that wait or are in flight.
     *
     * @return the demand of this instance
     */
    public int demand() {
        return mQueue.size() + tasksInFlight();
    }

    /**
     * Counts the tasks that wait or are in flight, by team.
     *
     * @return a new map, never null
     */
    public Map<TeamName, Integer> demandByTeam() {
        return mQueue.demandByTeam();
    }

    /**
     * Counts the queued tasks of a team.
     *
     * @param team the team, not null
     * @return the number
     */
    public int queuedTasks(TeamName team) {
        return mQueue.size(team);
    }

    /**
     * Counts the free slots of this instance's shares on the backend servers of its data centre.
     *
     * @return the number, 0 while tasks wait
     */
    public int idleSlots() {
        if (mQueue.size() > 0) {
            return 0;
        }
        int idle = 0;
        for (BackendServerState server : mServers.values()) {
            if (isLocal(server) && !server.isEjected() && !server.listing().leaving()) {
                idle += Math.max(0, server.share() - server.inFlight());
            }
        }
        return idle;
    }

    /**
     * Counts the ejected backend servers.
     *
     * @return the number
     */
    public int ejectedServers() {
        return (int) mServers.values().stream().filter(BackendServerState::isEjected).count();
    }

    /**
     * Counts the listed backend servers.
     *
     * @return the number
     */
    public int knownServers() {
        return mServers.size();
    }

    /**
     * Counts the tasks in flight.
     *
     * @return the number
     */
    public int tasksInFlight() {
        return mServers.values().stream().mapToInt(BackendServerState::inFlight).sum();
    }

    /**
     * Releases the quota and the borrowed slot of an assignment. Returns null if the backend server
     * is no longer known.
     */
    private BackendServerState release(Assignment assignment) {
        mQueue.finish(assignment.task().team());
        mQuotas.release(assignment.task().team());
        DataCentre dataCentre = mBorrowedTasks.remove(assignment.task().task());
        if (dataCentre != null) {
            mBorrowedByDataCentre.merge(dataCentre, -1, Integer::sum);
        }
        return mServers.get(assignment.backendServer());
    }

    private void start(QueuedTask task, BackendServerState server) {
        mQueue.start(task);
        server.onStarted();
        DataCentre dataCentre = server.listing().dataCentre();
        if (!dataCentre.equals(mDataCentre)) {
            mBorrowedByDataCentre.merge(dataCentre, 1, Integer::sum);
            mBorrowedTasks.put(task.task(), dataCentre);
        }
    }

    private Optional<BackendServerState> choose(long nowNanos) {
        List<BackendServerState> free = freeServers(nowNanos);
        if (free.isEmpty()) {
            return Optional.empty();
        }
        Optional<BackendServerState> probe =
                free.stream().filter(BackendServerState::isEjected).findFirst();
        if (probe.isPresent()) {
            return probe;
        }
        return mPolicy.choose(free, workingServers(), mQueue.size());
    }

    private List<BackendServerState> freeServers(long nowNanos) {
        List<BackendServerState> local = new ArrayList<>();
        List<BackendServerState> remote = new ArrayList<>();
        for (BackendServerState server : mServers.values()) {
            if (server.inFlight() < inFlightLimit(server, nowNanos)
                    && server.isAvailable(nowNanos)) {
                (isLocal(server) ? local : remote).add(server);
            }
        }
        if (mPolicy.usesShares() || local.isEmpty()) {
            local.addAll(remote);
        }
        return local;
    }

    private List<BackendServerState> workingServers() {
        List<BackendServerState> working = new ArrayList<>();
        for (BackendServerState server : mServers.values()) {
            if (isLocal(server) && !server.isEjected() && !server.listing().leaving()) {
                working.add(server);
            }
        }
        return working;
    }

    private int inFlightLimit(BackendServerState server, long nowNanos) {
        int slots = server.listing().slots();
        if (!mPolicy.usesShares()) {
            return slots;
        }
        int refusalLimit = server.refusalLimit(nowNanos);
        if (isLocal(server)) {
            return Math.min(refusalLimit, server.share());
        }
        DataCentre dataCentre = server.listing().dataCentre();
        int lendable = mShareView.lendableSlots().getOrDefault(dataCentre, 0);
        boolean isLendable = mBorrowedByDataCentre.getOrDefault(dataCentre, 0) < lendable;
        return isLendable ? Math.min(refusalLimit, slots / 2) : 0;
    }

    private boolean isLocal(BackendServerState server) {
        return server.listing().dataCentre().equals(mDataCentre);
    }

    private boolean mayEject() {
        return (ejectedServers() + 1) * MIN_SERVERS_PER_EJECTED <= mServers.size();
    }

    private void applyShares() {
        for (BackendServerState server : mServers.values()) {
            int slots = server.listing().slots();
            int rotation = Names.hash(server.id().toString());
            int share =
                    Shares.computeShare(
                            slots, mShareView.localDemands(), mShareView.ownIndex(), rotation);
            int overcommitted = (slots * mTuning.overcommit() + PERCENT / 2) / PERCENT;
            server.updateShare(Math.min(slots, share + overcommitted));
        }
    }

    private double medianSlowdown() {
        double[] observed =
                mServers.values().stream()
                        .filter(BackendServerState::isObserved)
                        .mapToDouble(BackendServerState::slowdown)
                        .sorted()
                        .toArray();
        return observed.length == 0 ? 1 : observed[observed.length / 2];
    }
}
