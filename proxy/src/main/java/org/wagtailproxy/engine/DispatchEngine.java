package org.wagtailproxy.engine;

import io.vavr.control.Either;
import io.vavr.control.Option;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.SplittableRandom;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Executor;
import org.wagtailproxy.backend.BackendClient;
import org.wagtailproxy.configuration.ServiceSpec;
import org.wagtailproxy.configuration.TeamSpec;
import org.wagtailproxy.dispatch.BackendServerListing;
import org.wagtailproxy.dispatch.QueuedTask;
import org.wagtailproxy.dispatch.ServiceDispatch;
import org.wagtailproxy.dispatch.ShareView;
import org.wagtailproxy.dispatch.TeamQuotas;
import org.wagtailproxy.failure.Failure;
import org.wagtailproxy.failure.FailureKind;
import org.wagtailproxy.identity.DataCentre;
import org.wagtailproxy.identity.JobName;
import org.wagtailproxy.identity.Names;
import org.wagtailproxy.identity.ServiceName;
import org.wagtailproxy.identity.TeamName;
import org.wagtailproxy.job.JobSpec;
import org.wagtailproxy.membership.InstanceListing;
import org.wagtailproxy.observe.EventLog;
import org.wagtailproxy.observe.Metrics;
import org.wagtailproxy.peer.DemandSource;
import org.wagtailproxy.peer.DemandTracker;
import org.wagtailproxy.view.SharedView;
import org.wagtailproxy.view.ViewListener;
import org.wagtailproxy.wire.Demand;

/** Dispatches the tasks of all services, each in a lane of its own. */
public final class DispatchEngine implements ViewListener, DemandSource {

    private final DataCentre mHome;
    private final SharedView mView;
    private final DemandTracker mBoard;
    private final BackendClient mBackend;
    private final Executor mExecutor;
    private final Metrics mMetrics;
    private final EventLog mLog;
    private final TeamQuotas mQuotas = TeamQuotas.of();
    private final Map<ServiceName, ServiceLane> mLanes = new ConcurrentHashMap<>();
    private volatile TaskOwner mOwner;

    private DispatchEngine(
            DataCentre home,
            SharedView view,
            DemandTracker board,
            BackendClient backend,
            Executor executor,
            Metrics metrics,
            EventLog log) {
        mHome = home;
        mView = view;
        mBoard = board;
        mBackend = backend;
        mExecutor = executor;
        mMetrics = metrics;
        mLog = log;
    }

    /**
     * Creates an engine that is idle until {@link #serve}.
     *
     * @param home the data centre of this instance, not null
     * @param view services, teams and backend servers, not null
     * @param board the others' demand, not null
     * @param backend how tasks are sent, not null
     * @param executor runs what follows an answer, not null
     * @param metrics the metrics, not null
     * @param log the log, not null
     * @return the engine, never null
     */
    public static DispatchEngine of(
            DataCentre home,
            SharedView view,
            DemandTracker board,
            BackendClient backend,
            Executor executor,
            Metrics metrics,
            EventLog log) {
        Objects.requireNonNull(home, "home");
        return new DispatchEngine(home, view, board, backend, executor, metrics, log);
    }

    /**
     * Names the owner of the tasks and begins to follow the view.
     *
     * @param owner the owner, not null
     */
    public void serve(TaskOwner owner) {
        mOwner = Objects.requireNonNull(owner, "owner");
        mView.addListener(this);
        onViewChanged();
    }

    /**
     * Queues all tasks of a job or none.
     *
     * @param job the job, not null
     * @param spec its content, not null
     * @param tasks its tasks, not null
     * @return the number of tasks queued, or why none was
     */
    public Either<Failure, Integer> offer(JobName job, JobSpec spec, List<QueuedTask> tasks) {
        Objects.requireNonNull(job, "job");
        ServiceLane lane = mLanes.get(spec.service());
        Option<TeamSpec> team = mView.team(spec.team());
        if (lane == null || team.isEmpty()) {
            return Either.left(Failure.of(FailureKind.UNKNOWN_SERVICE, spec.service().value()));
        }
        Either<Failure, Integer> queued = lane.offer(tasks, spec.team(), team.get());
        if (queued.isRight()) {
            lane.pumpSoon();
        }
        return queued;
    }

    /**
     * Drops the queued tasks of a job.
     *
     * @param service its service, not null
     * @param job the job, not null
     */
    public void drop(ServiceName service, JobName job) {
        ServiceLane lane = mLanes.get(service);
        if (lane != null) {
            lane.drop(job);
            lane.pumpSoon();
        }
    }

    /** Sends what pauses have held back; called every few milliseconds. */
    public void tick() {
        mLanes.values().forEach(ServiceLane::pump);
    }

    /** Divides slots and quotas anew and ends what waited too long; called often each second. */
    public void adjust() {
        long nowNanos = System.nanoTime();
        mBoard.prune(nowNanos);
        mLanes.forEach(
                (name, lane) -> {
                    lane.expire();
                    ShareView shares = mBoard.shares(name, nowNanos);
                    lane.use(
                            dispatch -> {
                                dispatch.updateShares(shares);
                                return null;
                            });
                });
        adjustQuotas(nowNanos);
    }

    @Override
    public void onViewChanged() {
        long nowNanos = System.nanoTime();
        for (Map.Entry<ServiceName, ServiceSpec> entry : mView.services().entrySet()) {
            ServiceSpec spec = entry.getValue();
            ServiceLane lane = mLanes.computeIfAbsent(entry.getKey(), name -> lane(name, spec));
            List<BackendServerListing> listings =
                    mView.instanceList().runners().getOrDefault(entry.getKey(), List.of());
            lane.taskTimeout(spec.taskTimeout());
            lane.use(
                    dispatch -> {
                        dispatch.updateTuning(spec.tuning());
                        dispatch.updateServers(listings, nowNanos);
                        return null;
                    });
        }
        adjust();
        tick();
    }

    @Override
    public int demand() {
        return mLanes.values().stream().mapToInt(lane -> lane.use(ServiceDispatch::demand)).sum();
    }

    @Override
    public List<Demand> serviceDemands() {
        List<Demand> demands = new ArrayList<>();
        mLanes.forEach(
                (name, lane) -> {
                    int tasks = lane.use(ServiceDispatch::demand);
                    int idle = lane.use(ServiceDispatch::idleSlots);
                    if (tasks > 0 || idle > 0) {
                        demands.add(
                                Demand.newBuilder()
                                        .setNameHash(Names.hash(name.value()))
                                        .setTasks(tasks)
                                        .setIdleSlots(idle)
                                        .build());
                    }
                });
        return demands;
    }

    @Override
    public List<Demand> teamDemands() {
        List<Demand> demands = new ArrayList<>();
        demandByTeam()
                .forEach(
                        (team, tasks) ->
                                demands.add(
                                        Demand.newBuilder()
                                                .setNameHash(Names.hash(team.value()))
                                                .setTasks(tasks)
                                                .build()));
        return demands;
    }

    private void adjustQuotas(long nowNanos) {
        Map<DataCentre, Integer> perDataCentre = new HashMap<>();
        for (InstanceListing entry : mView.instanceList().entries()) {
            perDataCentre.merge(entry.dataCentre(), 1, Integer::sum);
        }
        perDataCentre.putIfAbsent(mHome, 1);
        mView.teams()
                .forEach(
                        (team, spec) -> {
                            int limit = mBoard.quota(team, spec.quota(), perDataCentre, nowNanos);
                            mQuotas.updateLimit(team, limit, spec.weight());
                        });
    }

    private Map<TeamName, Integer> demandByTeam() {
        Map<TeamName, Integer> demand = new HashMap<>();
        for (ServiceLane lane : mLanes.values()) {
            lane.demandByTeam().forEach((team, tasks) -> demand.merge(team, tasks, Integer::sum));
        }
        return demand;
    }

    private ServiceLane lane(ServiceName name, ServiceSpec spec) {
        ServiceDispatch dispatch =
                ServiceDispatch.of(mHome, spec.tuning(), mQuotas, new SplittableRandom());
        return new ServiceLane(name, dispatch, mBackend, mExecutor, mOwner, mMetrics, mLog);
    }
}
