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
 * Places the queued tasks of one service on its backend servers.
 *
 * <p>Time and randomness are passed in; sending is left to the caller. Not safe for use by several
 * threads; the owner holds a lock.
 */
public final class ServiceDispatch {

    /** At most one backend server in this many is ejected. */
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
            DataCentre home, DispatchTuning tuning, TeamQuotas quotas, RandomGenerator random) {
        mDataCentre = home;
        mQuotas = quotas;
        mRandom = random;
        mTuning = tuning;
        mPolicy = tuning.policy().createPolicy(home, tuning, random);
    }

    /**
     * Creates the dispatch of a service without backend servers.
     *
     * @param home the data centre of this instance, not null
     * @param tuning how to weigh, not null
     * @param quotas the teams' quotas, shared by all services, not null
     * @param random the source of randomness, not null
     * @return the dispatch, never null
     */
    public static ServiceDispatch of(
            DataCentre home, DispatchTuning tuning, TeamQuotas quotas, RandomGenerator random) {
        Objects.requireNonNull(home, "home");
        Objects.requireNonNull(quotas, "quotas");
        return new ServiceDispatch(home, tuning, quotas, random);
    }

    /**
     * Replaces the tuning.
     *
     * @param tuning how to weigh from now on, not null
     */
    public void updateTuning(DispatchTuning tuning) {
        if (!tuning.equals(mTuning)) {
            mTuning = tuning;
            mPolicy = tuning.policy().createPolicy(mDataCentre, tuning, mRandom);
            applyShares();
        }
    }

    /**
     * Takes over the backend servers that the platform lists.
     *
     * @param listings every backend server of the service, not null; one that is missing receives
     *     nothing more
     * @param nowNanos the monotonic time in nanoseconds
     */
    public void updateServers(List<BackendServerListing> listings, long nowNanos) {
        Map<BackendServerId, BackendServerState> kept = new TreeMap<>();
        double prior = medianSlowdown();
        for (BackendServerListing listing : listings) {
            BackendServerState runner = mServers.get(listing.id());
            if (runner == null) {
                runner = new BackendServerState(listing, nowNanos);
                runner.assumeSlowdown(prior);
            }
            runner.updateListing(listing);
            kept.put(listing.id(), runner);
        }
        for (BackendServerState runner : mServers.values()) {
            if (runner.inFlight() > 0 && !kept.containsKey(runner.id())) {
                runner.updateListing(runner.listing().asLeaving());
                kept.put(runner.id(), runner);
            }
        }
        mServers.clear();
        mServers.putAll(kept);
        applyShares();
    }

    /**
     * Takes over what the other instances say of their demand.
     *
     * @param shares the view, not null
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
     * Checks whether more tasks fit into the queue.
     *
     * @param tasks how many
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
        return mServers.values().stream().anyMatch(runner -> !runner.listing().leaving());
    }

    /**
     * Takes the tasks that are to be sent now; each counts as in flight from here on.
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
            Optional<BackendServerState> runner = choose(nowNanos);
            if (runner.isEmpty() || !mQuotas.tryAcquire(task.get().team())) {
                break;
            }
            start(task.get(), runner.get());
            assignments.add(Assignment.of(task.get(), runner.get().id()));
        }
        return assignments;
    }

    /**
     * Takes over the result of a task that was sent.
     *
     * @param assignment the task and its backend server, not null
     * @param result what came of it, not null
     * @param tookNanos how long it took in nanoseconds
     * @param nowNanos the monotonic time in nanoseconds
     */
    public void onResult(Assignment assignment, SendResult result, long tookNanos, long nowNanos) {
        BackendServerState runner = release(assignment);
        if (runner == null) {
            return;
        }
        switch (result) {
            case ANSWERED -> runner.onAnswered(tookNanos, assignment.task().declaredMilliseconds());
            case REFUSED -> runner.onRefused(nowNanos);
            default -> runner.onFailed(mayEject(), nowNanos);
        }
    }

    /**
     * Takes back an assignment of which nothing was sent.
     *
     * @param assignment the task and its backend server, not null
     */
    public void abandon(Assignment assignment) {
        BackendServerState runner = release(assignment);
        if (runner != null) {
            runner.onAbandoned();
        }
    }

    /**
     * Queues a task again, before all others of its team, after it was not run.
     *
     * @param task the task, not null
     */
    public void requeue(QueuedTask task) {
        mQueue.addFirst(task.withAnotherAttempt());
    }

    /**
     * Drops the queued tasks of a job.
     *
     * @param job the job, not null
     * @return how many were dropped
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
     * Counts the slots of the own share that are free and not needed here.
     *
     * @return the number, 0 while tasks wait
     */
    public int idleSlots() {
        if (mQueue.size() > 0) {
            return 0;
        }
        int idle = 0;
        for (BackendServerState runner : mServers.values()) {
            if (isLocal(runner) && !runner.isEjected() && !runner.listing().leaving()) {
                idle += Math.max(0, runner.share() - runner.inFlight());
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

    /** Frees what an assignment holds; null if the backend server is no longer listed. */
    private BackendServerState release(Assignment assignment) {
        mQueue.finish(assignment.task().team());
        mQuotas.release(assignment.task().team());
        DataCentre place = mBorrowedTasks.remove(assignment.task().task());
        if (place != null) {
            mBorrowedByDataCentre.merge(place, -1, Integer::sum);
        }
        return mServers.get(assignment.backendServer());
    }

    private void start(QueuedTask task, BackendServerState runner) {
        mQueue.start(task);
        runner.onStarted();
        DataCentre place = runner.listing().dataCentre();
        if (!place.equals(mDataCentre)) {
            mBorrowedByDataCentre.merge(place, 1, Integer::sum);
            mBorrowedTasks.put(task.task(), place);
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
        for (BackendServerState runner : mServers.values()) {
            if (runner.inFlight() < inFlightLimit(runner, nowNanos)
                    && runner.isAvailable(nowNanos)) {
                (isLocal(runner) ? local : remote).add(runner);
            }
        }
        if (mPolicy.usesShares() || local.isEmpty()) {
            local.addAll(remote);
        }
        return local;
    }

    private List<BackendServerState> workingServers() {
        List<BackendServerState> working = new ArrayList<>();
        for (BackendServerState runner : mServers.values()) {
            if (isLocal(runner) && !runner.isEjected() && !runner.listing().leaving()) {
                working.add(runner);
            }
        }
        return working;
    }

    private int inFlightLimit(BackendServerState runner, long nowNanos) {
        int slots = runner.listing().slots();
        if (!mPolicy.usesShares()) {
            return slots;
        }
        int learnt = runner.refusalLimit(nowNanos);
        if (isLocal(runner)) {
            return Math.min(learnt, runner.share());
        }
        DataCentre place = runner.listing().dataCentre();
        int borrowable = mShareView.lendableSlots().getOrDefault(place, 0);
        boolean lent = mBorrowedByDataCentre.getOrDefault(place, 0) < borrowable;
        return lent ? Math.min(learnt, slots / 2) : 0;
    }

    private boolean isLocal(BackendServerState runner) {
        return runner.listing().dataCentre().equals(mDataCentre);
    }

    private boolean mayEject() {
        return (ejectedServers() + 1) * MIN_SERVERS_PER_EJECTED <= mServers.size();
    }

    private void applyShares() {
        for (BackendServerState runner : mServers.values()) {
            int slots = runner.listing().slots();
            int rotation = Names.hash(runner.id().toString());
            int share =
                    Shares.computeShare(
                            slots, mShareView.localDemands(), mShareView.ownIndex(), rotation);
            int extra = (slots * mTuning.overcommit() + PERCENT / 2) / PERCENT;
            runner.updateShare(Math.min(slots, share + extra));
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
