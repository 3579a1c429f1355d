package org.wagtailproxy.engine;

import io.vavr.control.Either;
import io.vavr.control.Option;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executor;
import java.util.concurrent.locks.ReentrantLock;
import java.util.function.Function;
import java.util.function.Supplier;
import org.wagtailproxy.backend.BackendClient;
import org.wagtailproxy.backend.SendOutcome;
import org.wagtailproxy.configuration.TeamSpec;
import org.wagtailproxy.dispatch.Assignment;
import org.wagtailproxy.dispatch.QueuedTask;
import org.wagtailproxy.dispatch.SendResult;
import org.wagtailproxy.dispatch.ServiceDispatch;
import org.wagtailproxy.failure.Failure;
import org.wagtailproxy.failure.FailureKind;
import org.wagtailproxy.identity.JobName;
import org.wagtailproxy.identity.ServiceName;
import org.wagtailproxy.identity.TeamName;
import org.wagtailproxy.observe.EventField;
import org.wagtailproxy.observe.EventLog;
import org.wagtailproxy.observe.EventName;
import org.wagtailproxy.observe.Metrics;

/**
 * Queues and sends the tasks of one service.
 *
 * <p>Each service has its own lock, which protects its {@link ServiceDispatch}. Tasks are sent and
 * their owner is called without the lock.
 */
final class ServiceDispatcher {

    private final ServiceName mName;
    private final ServiceDispatch mDispatch;
    private final BackendClient mBackend;
    private final Executor mExecutor;
    private final TaskOwner mOwner;
    private final Metrics mMetrics;
    private final EventLog mLog;
    private final ReentrantLock mLock = new ReentrantLock();
    private volatile Duration mTaskTimeout = Duration.ofSeconds(1);

    ServiceDispatcher(
            ServiceName name,
            ServiceDispatch dispatch,
            BackendClient backend,
            Executor executor,
            TaskOwner owner,
            Metrics metrics,
            EventLog log) {
        mLog = log;
        mName = name;
        mDispatch = dispatch;
        mBackend = backend;
        mExecutor = executor;
        mOwner = owner;
        mMetrics = metrics;
    }

    void setTaskTimeout(Duration timeout) {
        mTaskTimeout = timeout;
    }

    /** Queues all tasks of a job, or none of them. */
    Either<Failure, Integer> enqueue(List<QueuedTask> tasks, TeamName team, TeamSpec spec) {
        return locked(() -> enqueueIfAdmitted(tasks, team, spec));
    }

    private Either<Failure, Integer> enqueueIfAdmitted(
            List<QueuedTask> tasks, TeamName team, TeamSpec spec) {
        if (!mDispatch.hasServer()) {
            return refused(FailureKind.NO_BACKEND_SERVER, "none is listed for " + mName);
        }
        if (!mDispatch.hasQueueCapacity(tasks.size())) {
            return refused(FailureKind.OVERLOADED, "the queue of " + mName + " is full");
        }
        if (mDispatch.queuedTasks(team) + tasks.size() > spec.queueLimit()) {
            return refused(FailureKind.QUOTA_EXCEEDED, "too many tasks of " + team + " wait");
        }
        tasks.forEach(mDispatch::enqueue);
        return Either.right(tasks.size());
    }

    /** Sends every queued task to which a backend server can be assigned now. */
    void sendAssigned() {
        List<Assignment> assignments = locked(() -> mDispatch.assign(System.nanoTime()));
        for (Assignment assignment : assignments) {
            send(assignment);
        }
    }

    void sendAssignedAsync() {
        mExecutor.execute(this::sendAssigned);
    }

    /** Removes tasks that exceeded the queue timeout, then updates the metrics of the service. */
    void removeExpired() {
        List<QueuedTask> expired = locked(() -> mDispatch.removeExpired(System.nanoTime()));
        expired.forEach(mOwner::taskExpired);
        locked(
                () -> {
                    mMetrics.updateDispatch(
                            mName.value(),
                            mDispatch.demand(),
                            mDispatch.knownServers(),
                            mDispatch.ejectedServers());
                    return null;
                });
    }

    /** Removes the queued tasks of a job and returns their number. */
    int removeJob(JobName job) {
        return locked(() -> mDispatch.removeJob(job));
    }

    <T> T withDispatch(Function<ServiceDispatch, T> action) {
        return locked(() -> action.apply(mDispatch));
    }

    Map<TeamName, Integer> demandByTeam() {
        return locked(mDispatch::demandByTeam);
    }

    private void send(Assignment assignment) {
        Option<OutgoingTask> task = mOwner.startTask(assignment);
        if (task.isEmpty()) {
            locked(
                    () -> {
                        mDispatch.abandon(assignment);
                        return null;
                    });
            return;
        }
        long sentNanos = System.nanoTime();
        CompletableFuture<SendOutcome> sending =
                mBackend.send(
                        assignment.backendServer(),
                        task.get().name(),
                        task.get().payload(),
                        mTaskTimeout);
        sending.thenAcceptAsync(outcome -> onOutcome(assignment, outcome, sentNanos), mExecutor)
                .exceptionally(this::logDefect);
    }

    private Void logDefect(Throwable cause) {
        mLog.event(EventName.DEFECT).with(EventField.SERVICE, mName).error(cause);
        return null;
    }

    private void onOutcome(Assignment assignment, SendOutcome outcome, long sentNanos) {
        long nowNanos = System.nanoTime();
        SendResult result = outcome.result();
        mMetrics.taskSent(mName.value(), result.externalName());
        locked(
                () -> {
                    mDispatch.onResult(assignment, result, nowNanos - sentNanos, nowNanos);
                    return null;
                });
        if (mOwner.taskFinished(assignment, outcome)) {
            locked(
                    () -> {
                        mDispatch.requeue(assignment.task());
                        return null;
                    });
        }
        sendAssigned();
    }

    private <T> T locked(Supplier<T> action) {
        mLock.lock();
        try {
            return action.get();
        } finally {
            mLock.unlock();
        }
    }

    private static Either<Failure, Integer> refused(FailureKind kind, String detail) {
        return Either.left(Failure.of(kind, detail));
    }
}
