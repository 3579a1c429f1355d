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

/**
 * Dispatches the tasks of all services to backend servers.
 *
 * <p>Each service of the shared view has its own {@link ServiceDispatcher}. The engine also
 * computes this instance's share of the backend servers and of the team quotas from the demand that
 * other instances report, and reports its own demand.
 */
public final class DispatchEngine implements ViewListener, DemandSource {

    private final DataCentre mDataCentre;
    private final SharedView mView;
    private final DemandTracker mDemandTracker;
    private final BackendClient mBackend;
    private final Executor mExecutor;
    private final Metrics mMetrics;
    private final EventLog mLog;
    private final TeamQuotas mQuotas = TeamQuotas.of();
    private final Map<ServiceName, ServiceDispatcher> mDispatchers = new ConcurrentHashMap<>();
    private volatile TaskOwner mOwner;

    private DispatchEngine(
            DataCentre dataCentre,
            SharedView view,
            DemandTracker demandTracker,
            BackendClient backend,
            Executor executor,
            Metrics metrics,
            EventLog log) {
        mDataCentre = dataCentre;
        mView = view;
        mDemandTracker = demandTracker;
        mBackend = backend;
        mExecutor = executor;
        mMetrics = metrics;
        mLog = log;
    }

    /**
     * Creates an engine that dispatches nothing until {@link #start} is called.
     *
     * @param dataCentre the data centre of this instance, not null
     * @param view provides the services, teams and backend servers, not null
     * @param demandTracker provides the demand of other instances, not null
     * @param backend sends the tasks, not null
     * @param executor runs the processing of answers, not null
     * @param metrics the metrics, not null
     * @param log the event log, not null
     * @return the engine, never null
     */
    public static DispatchEngine of(
            DataCentre dataCentre,
            SharedView view,
            DemandTracker demandTracker,
            BackendClient backend,
            Executor executor,
            Metrics metrics,
            EventLog log) {
        Objects.requireNonNull(dataCentre, "dataCentre");
        return new DispatchEngine(dataCentre, view, demandTracker, backend, executor, metrics, log);
    }

    /**
     * Sets the owner of the tasks and subscribes to changes of the view.
     *
     * @param owner the owner, not null
     */
    public void start(TaskOwner owner) {
        mOwner = Objects.requireNonNull(owner, "owner");
        mView.addListener(this);
        onViewChanged();
    }

    /**
     * Queues all tasks of a job, or none of them.
     *
     * @param job the job, not null
     * @param spec the specification of the job, not null
     * @param tasks the tasks of the job, not null
     * @return the number of queued tasks, or the reason why none was queued
     */
    public Either<Failure, Integer> enqueue(JobName job, JobSpec spec, List<QueuedTask> tasks) {
        Objects.requireNonNull(job, "job");
        ServiceDispatcher dispatcher = mDispatchers.get(spec.service());
        Option<TeamSpec> team = mView.team(spec.team());
        if (dispatcher == null || team.isEmpty()) {
            return Either.left(Failure.of(FailureKind.UNKNOWN_SERVICE, spec.service().value()));
        }
        Either<Failure, Integer> queued = dispatcher.enqueue(tasks, spec.team(), team.get());
        if (queued.isRight()) {
            dispatcher.sendAssignedAsync();
        }
        return queued;
    }

    /**
     * Removes the queued tasks of a job.
     *
     * @param service the service of the job, not null
     * @param job the job, not null
     */
    public void removeJob(ServiceName service, JobName job) {
        ServiceDispatcher dispatcher = mDispatchers.get(service);
        if (dispatcher != null) {
            dispatcher.removeJob(job);
            dispatcher.sendAssignedAsync();
        }
    }

    /**
     * Sends the tasks that can be assigned now. Called every few milliseconds, because the end of a
     * pause of a backend server triggers no other call.
     */
    public void tick() {
        mDispatchers.values().forEach(ServiceDispatcher::sendAssigned);
    }

    /**
     * Recomputes the shares of slots and team quotas, and removes tasks that exceeded the queue
     * timeout; called several times per second.
     */
    public void updateShares() {
        long nowNanos = System.nanoTime();
        mDemandTracker.prune(nowNanos);
        mDispatchers.forEach(
                (name, dispatcher) -> {
                    dispatcher.removeExpired();
                    ShareView shares = mDemandTracker.shares(name, nowNanos);
                    dispatcher.withDispatch(
                            dispatch -> {
                                dispatch.updateShares(shares);
                                return null;
                            });
                });
        updateQuotas(nowNanos);
    }

    @Override
    public void onViewChanged() {
        long nowNanos = System.nanoTime();
        for (Map.Entry<ServiceName, ServiceSpec> entry : mView.services().entrySet()) {
            ServiceSpec spec = entry.getValue();
            ServiceDispatcher dispatcher =
                    mDispatchers.computeIfAbsent(
                            entry.getKey(), name -> createDispatcher(name, spec));
            List<BackendServerListing> listings =
                    mView.instanceList().backendServers().getOrDefault(entry.getKey(), List.of());
            dispatcher.setTaskTimeout(spec.taskTimeout());
            dispatcher.withDispatch(
                    dispatch -> {
                        dispatch.updateTuning(spec.tuning());
                        dispatch.updateServers(listings, nowNanos);
                        return null;
                    });
        }
        updateShares();
        tick();
    }

    @Override
    public int demand() {
        return mDispatchers.values().stream()
                .mapToInt(dispatcher -> dispatcher.withDispatch(ServiceDispatch::demand))
                .sum();
    }

    @Override
    public List<Demand> serviceDemands() {
        List<Demand> demands = new ArrayList<>();
        mDispatchers.forEach(
                (name, dispatcher) -> {
                    int tasks = dispatcher.withDispatch(ServiceDispatch::demand);
                    int idle = dispatcher.withDispatch(ServiceDispatch::idleSlots);
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

    private void updateQuotas(long nowNanos) {
        Map<DataCentre, Integer> perDataCentre = new HashMap<>();
        for (InstanceListing entry : mView.instanceList().entryInstances()) {
            perDataCentre.merge(entry.dataCentre(), 1, Integer::sum);
        }
        perDataCentre.putIfAbsent(mDataCentre, 1);
        mView.teams()
                .forEach(
                        (team, spec) -> {
                            int limit =
                                    mDemandTracker.quota(
                                            team, spec.quota(), perDataCentre, nowNanos);
                            mQuotas.updateLimit(team, limit, spec.weight());
                        });
    }

    private Map<TeamName, Integer> demandByTeam() {
        Map<TeamName, Integer> demand = new HashMap<>();
        for (ServiceDispatcher dispatcher : mDispatchers.values()) {
            dispatcher
                    .demandByTeam()
                    .forEach((team, tasks) -> demand.merge(team, tasks, Integer::sum));
        }
        return demand;
    }

    private ServiceDispatcher createDispatcher(ServiceName name, ServiceSpec spec) {
        ServiceDispatch dispatch =
                ServiceDispatch.of(mDataCentre, spec.tuning(), mQuotas, new SplittableRandom());
        return new ServiceDispatcher(name, dispatch, mBackend, mExecutor, mOwner, mMetrics, mLog);
    }
}
