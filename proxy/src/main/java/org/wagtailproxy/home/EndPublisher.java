package org.wagtailproxy.home;

import java.util.Objects;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.wagtailproxy.identity.JobName;
import org.wagtailproxy.job.JobTracker;
import org.wagtailproxy.observe.BurnRegistry;
import org.wagtailproxy.observe.EventField;
import org.wagtailproxy.observe.EventLog;
import org.wagtailproxy.observe.EventName;
import org.wagtailproxy.observe.Metrics;
import org.wagtailproxy.peer.Members;
import org.wagtailproxy.view.SharedView;
import org.wagtailproxy.wire.EndRecord;

/**
 * Makes the ends (final results) of jobs visible to callers.
 *
 * <p>An end is first replicated to neighbours. Then the member table must confirm that no other
 * instance can have sealed this one in the meantime: after a seal, others may declare the job
 * failed, which would contradict the published end. Otherwise the end is withheld: it stays
 * invisible, and its replication and the check are repeated.
 */
public final class EndPublisher {

    private final EndReplicator mReplicator;
    private final Members mMembers;
    private final SharedView mView;
    private final BurnRegistry mBurn;
    private final Metrics mMetrics;
    private final EventLog mLog;
    private final Queue<Withheld> mWithheld = new ConcurrentLinkedQueue<>();

    private EndPublisher(
            EndReplicator replicator,
            Members members,
            SharedView view,
            BurnRegistry burn,
            Metrics metrics,
            EventLog log) {
        mReplicator = replicator;
        mMembers = members;
        mView = view;
        mBurn = burn;
        mMetrics = metrics;
        mLog = log;
    }

    /**
     * Creates a publisher.
     *
     * @param replicator replicates ends to neighbours, not null
     * @param members decide whether this instance may publish, not null
     * @param view provides the objectives of services, not null
     * @param burn the burn counts, not null
     * @param metrics the metrics, not null
     * @param log the event log, not null
     * @return the publisher, never null
     */
    public static EndPublisher of(
            EndReplicator replicator,
            Members members,
            SharedView view,
            BurnRegistry burn,
            Metrics metrics,
            EventLog log) {
        Objects.requireNonNull(replicator, "replicator");
        return new EndPublisher(replicator, members, view, burn, metrics, log);
    }

    /**
     * Publishes an end as soon as that is permitted.
     *
     * @param name the job, not null
     * @param record its end, not null
     * @param publish makes the end visible; called at most once, not null
     */
    public void publish(JobName name, EndRecord record, Consumer<EndRecord> publish) {
        mReplicator
                .replicate(record)
                .thenAccept(replicas -> onReplicated(name, record, publish, replicas));
    }

    /** Tries again to publish the withheld ends; called several times a second. */
    public void retryWithheld() {
        int count = mWithheld.size();
        for (int index = 0; index < count; index++) {
            Withheld withheld = mWithheld.poll();
            if (withheld == null) {
                return;
            }
            publish(withheld.mName, withheld.mRecord, withheld.mPublish);
        }
    }

    /**
     * Records the end of a job in the metrics and in the burn counts, and logs a failure.
     *
     * @param tracker the job, not null
     * @param complete whether the job is complete
     */
    public void recordMetrics(JobTracker tracker, boolean complete) {
        long nowNanos = System.nanoTime();
        long tookNanos = nowNanos - tracker.acceptedNanos();
        String service = tracker.spec().service().value();
        mMetrics.jobEnded(service, complete ? "complete" : "failed", tookNanos);
        mView.service(tracker.spec().service())
                .forEach(
                        spec -> {
                            long limit = spec.objective().latencyMilliseconds();
                            long took = TimeUnit.NANOSECONDS.toMillis(tookNanos);
                            boolean met = complete && took <= limit;
                            mBurn.record("service/" + service, met, nowNanos);
                            mBurn.record("team/" + tracker.spec().team(), met, nowNanos);
                        });
        tracker.failure()
                .forEach(
                        failure ->
                                mLog.event(EventName.JOB_FAILED)
                                        .with(EventField.JOB, tracker.name())
                                        .with(EventField.FAILURE, failure.kind().slug())
                                        .with(EventField.DETAIL, failure.detail())
                                        .info());
    }

    private void onReplicated(
            JobName name, EndRecord record, Consumer<EndRecord> publish, int replicas) {
        boolean fenced = replicas < 0;
        if (!fenced && mMembers.with(table -> table.mayPublish(replicas, System.nanoTime()))) {
            publish.accept(record);
            return;
        }
        mLog.event(EventName.END_WITHHELD).with(EventField.JOB, name).info();
        mWithheld.add(new Withheld(name, record, publish));
    }

    /** Represents an end that may not be published yet. */
    private static final class Withheld {
        private final JobName mName;
        private final EndRecord mRecord;
        private final Consumer<EndRecord> mPublish;

        private Withheld(JobName name, EndRecord record, Consumer<EndRecord> publish) {
            mName = name;
            mRecord = record;
            mPublish = publish;
        }
    }
}
