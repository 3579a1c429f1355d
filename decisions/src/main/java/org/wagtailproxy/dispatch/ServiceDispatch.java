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
    private static final int EJECTED_ONE_IN = 3;

    private static final int PERCENT = 100;

    private final DataCentre mHome;
    private final TeamQuotas mQuotas;
    private final RandomGenerator mRandom;
    private final FairQueue mQueue = new FairQueue();
    private final Map<BackendServerId, BackendServerState> mRunners = new TreeMap<>();
    private final Map<DataCentre, Integer> mBorrowed = new HashMap<>();
    private final Map<TaskRef, DataCentre> mBorrowedPlaces = new HashMap<>();
    private DispatchTuning mTuning;
    private DispatchPolicy mChoice;
    private ShareView mShares = ShareView.alone();

    private ServiceDispatch(
            DataCentre home, DispatchTuning tuning, TeamQuotas quotas, RandomGenerator random) {
        mHome = home;
        mQuotas = quotas;
        mRandom = random;
        mTuning = tuning;
        mChoice = tuning.policy().choice(home, tuning, random);
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
            mChoice = tuning.policy().choice(mHome, tuning, mRandom);
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
        double prior = medianSlowness();
        for (BackendServerListing listing : listings) {
            BackendServerState runner = mRunners.get(listing.id());
            if (runner == null) {
                runner = new BackendServerState(listing, nowNanos);
                runner.assumeSlowness(prior);
            }
            runner.listing(listing);
            kept.put(listing.id(), runner);
        }
        for (BackendServerState runner : mRunners.values()) {
            if (runner.inFlight() > 0 && !kept.containsKey(runner.id())) {
                runner.listing(runner.listing().asLeaving());
                kept.put(runner.id(), runner);
            }
        }
        mRunners.clear();
        mRunners.putAll(kept);
        applyShares();
    }

    /**
     * Takes over what the other instances say of their demand.
     *
     * @param shares the view, not null
     */
    public void updateShares(ShareView shares) {
        mShares = Objects.requireNonNull(shares, "shares");
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
     * Tests whether more tasks fit into the queue.
     *
     * @param tasks how many
     * @return true if they fit
     */
    public boolean hasQueueCapacity(int tasks) {
        return mQueue.size() + tasks <= mTuning.queueLimit();
    }

    /**
     * Tests whether the service has any backend server that is not leaving.
     *
     * @return true if there is one
     */
    public boolean hasServer() {
        return mRunners.values().stream().anyMatch(runner -> !runner.listing().leaving());
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
                            mChoice.ordersByRatio(),
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
            case ANSWERED -> runner.answered(tookNanos, assignment.task().declaredMilliseconds());
            case REFUSED -> runner.refused(nowNanos);
            default -> runner.failed(mayEject(), nowNanos);
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
            runner.abandoned();
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
        for (BackendServerState runner : mRunners.values()) {
            if (isLocal(runner) && !runner.ejected() && !runner.listing().leaving()) {
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
        return (int) mRunners.values().stream().filter(BackendServerState::ejected).count();
    }

    /**
     * Counts the listed backend servers.
     *
     * @return the number
     */
    public int knownServers() {
        return mRunners.size();
    }

    /**
     * Counts the tasks in flight.
     *
     * @return the number
     */
    public int tasksInFlight() {
        return mRunners.values().stream().mapToInt(BackendServerState::inFlight).sum();
    }

    /** Frees what an assignment holds; null if the backend server is no longer listed. */
    private BackendServerState release(Assignment assignment) {
        mQueue.finish(assignment.task().team());
        mQuotas.release(assignment.task().team());
        DataCentre place = mBorrowedPlaces.remove(assignment.task().task());
        if (place != null) {
            mBorrowed.merge(place, -1, Integer::sum);
        }
        return mRunners.get(assignment.backendServer());
    }

    private void start(QueuedTask task, BackendServerState runner) {
        mQueue.start(task);
        runner.started();
        DataCentre place = runner.listing().dataCentre();
        if (!place.equals(mHome)) {
            mBorrowed.merge(place, 1, Integer::sum);
            mBorrowedPlaces.put(task.task(), place);
        }
    }

    private Optional<BackendServerState> choose(long nowNanos) {
        List<BackendServerState> free = free(nowNanos);
        if (free.isEmpty()) {
            return Optional.empty();
        }
        Optional<BackendServerState> probe =
                free.stream().filter(BackendServerState::ejected).findFirst();
        if (probe.isPresent()) {
            return probe;
        }
        return mChoice.choose(free, working(), mQueue.size());
    }

    private List<BackendServerState> free(long nowNanos) {
        List<BackendServerState> local = new ArrayList<>();
        List<BackendServerState> remote = new ArrayList<>();
        for (BackendServerState runner : mRunners.values()) {
            if (runner.inFlight() < limit(runner, nowNanos) && runner.available(nowNanos)) {
                (isLocal(runner) ? local : remote).add(runner);
            }
        }
        if (mChoice.usesShares() || local.isEmpty()) {
            local.addAll(remote);
        }
        return local;
    }

    private List<BackendServerState> working() {
        List<BackendServerState> working = new ArrayList<>();
        for (BackendServerState runner : mRunners.values()) {
            if (isLocal(runner) && !runner.ejected() && !runner.listing().leaving()) {
                working.add(runner);
            }
        }
        return working;
    }

    private int limit(BackendServerState runner, long nowNanos) {
        int slots = runner.listing().slots();
        if (!mChoice.usesShares()) {
            return slots;
        }
        int learnt = runner.learntLimit(nowNanos);
        if (isLocal(runner)) {
            return Math.min(learnt, runner.share());
        }
        DataCentre place = runner.listing().dataCentre();
        int borrowable = mShares.lendableSlots().getOrDefault(place, 0);
        boolean lent = mBorrowed.getOrDefault(place, 0) < borrowable;
        return lent ? Math.min(learnt, slots / 2) : 0;
    }

    private boolean isLocal(BackendServerState runner) {
        return runner.listing().dataCentre().equals(mHome);
    }

    private boolean mayEject() {
        return (ejectedServers() + 1) * EJECTED_ONE_IN <= mRunners.size();
    }

    private void applyShares() {
        for (BackendServerState runner : mRunners.values()) {
            int slots = runner.listing().slots();
            int rotation = Names.hash(runner.id().toString());
            int share =
                    Shares.computeShare(
                            slots, mShares.localDemands(), mShares.ownIndex(), rotation);
            int extra = (slots * mTuning.overcommit() + PERCENT / 2) / PERCENT;
            runner.share(Math.min(slots, share + extra));
        }
    }

    private double medianSlowness() {
        double[] observed =
                mRunners.values().stream()
                        .filter(BackendServerState::observed)
                        .mapToDouble(BackendServerState::slowness)
                        .sorted()
                        .toArray();
        return observed.length == 0 ? 1 : observed[observed.length / 2];
    }
}
