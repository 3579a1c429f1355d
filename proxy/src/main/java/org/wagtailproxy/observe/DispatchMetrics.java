package org.wagtailproxy.observe;

import io.prometheus.metrics.core.metrics.Counter;
import io.prometheus.metrics.core.metrics.Gauge;
import io.prometheus.metrics.core.metrics.Histogram;
import io.prometheus.metrics.expositionformats.PrometheusTextFormatWriter;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.Collection;
import java.util.Map;

/**
 * Defines and records the metrics of an instance that dispatches for a platform.
 *
 * <p>Some metric names and help texts differ from the terms of the code, because operators' tools
 * match them; the fields below then name the term. docs/OPERATIONS.md describes each metric.
 */
public final class DispatchMetrics {

    private static final double MILLIS_PER_SECOND = 1000;

    /** Bucket bounds in seconds, from the shortest task to the longest caller timeout. */
    private static final double[] LATENCY_BUCKETS_SECONDS = {
        0.01, 0.02, 0.05, 0.1, 0.15, 0.2, 0.3, 0.5, 0.75, 1, 1.5, 2, 3, 5
    };

    /**
     * Bucket bounds of run time divided by expected run time, from half the expected time on a fast
     * server to a stalled run.
     */
    private static final double[] RUN_RATIO_BUCKETS = {0.5, 0.7, 0.85, 1, 1.2, 1.5, 2, 3, 5, 10};

    private final PrometheusRegistry mRegistry = new PrometheusRegistry();
    private final Counter mAnswers =
            counter(
                    "wagtailproxy_job_answers",
                    "Answered jobs by outcome and reason.",
                    "outcome",
                    "reason");
    private final Counter mObjectives =
            counter(
                    "wagtailproxy_job_objectives",
                    "Answered jobs by whether they were complete within their objective.",
                    "priority",
                    "met");
    private final Counter mRefusals =
            counter("wagtailproxy_refusals", "Refused requests by failure.", "failure");
    private final Counter mRuns =
            counter("wagtailproxy_runs", "Ended runs of tasks by how they ended.", "end");
    private final Counter mStoreCalls =
            counter("wagtailproxy_store_calls", "Calls to the store.", "call", "outcome");
    private final Counter mEvents =
            counter("wagtailproxy_events", "Lines of the event log by event.", "event");

    /** Updates that {@link MetricsRecorder} dropped before the metrics were created. */
    private final Counter mDropped =
            counter("wagtailproxy_dropped_records", "Records lost before the metrics were loaded.");

    private final Histogram mJobSeconds =
            histogram(
                    "wagtailproxy_job_seconds",
                    "Time to the answer.",
                    LATENCY_BUCKETS_SECONDS,
                    "outcome");
    private final Histogram mWaitSeconds =
            histogram(
                    "wagtailproxy_job_wait_seconds",
                    "Time from a job's arrival to its first start.",
                    LATENCY_BUCKETS_SECONDS,
                    "priority");
    private final Histogram mRunRatio =
            histogram(
                    "wagtailproxy_run_ratio",
                    "Run time divided by the time that was expected.",
                    RUN_RATIO_BUCKETS);

    /** Unstarted jobs, by priority. */
    private final Gauge mWaiting =
            gauge("wagtailproxy_waiting_jobs", "Jobs that have not begun.", "priority");

    private final Counter mLimited =
            counter(
                    "wagtailproxy_limited_clients",
                    "Clients that were refused or disconnected because of a limit.",
                    "listener",
                    "limit");

    private final Gauge mEvacuated =
            gauge(
                    "wagtailproxy_evacuated_data_centres",
                    "1 for each data centre whose servers get no new tasks.",
                    "data_centre");

    private final Gauge mCallerConnections =
            gauge("wagtailproxy_caller_connections", "Open connections of callers.");

    private final Gauge mCallerMemory =
            gauge(
                    "wagtailproxy_caller_memory_bytes",
                    "Memory that requests and responses of callers take up.");

    private final Gauge mOpen = gauge("wagtailproxy_open_jobs", "Jobs whose callers wait here.");

    /** 1 while the instance controls backend servers as a leader. */
    private final Gauge mLeads =
            gauge("wagtailproxy_leads", "1 while the instance gives orders to servers.");

    /** Backend servers that have accepted the fencing token of this instance. */
    private final Gauge mHeld =
            gauge("wagtailproxy_held_backend_servers", "Servers that it gives orders to.");

    /** Free processor capacity of the held servers. */
    private final Gauge mFree =
            gauge("wagtailproxy_free_cores", "Free processor room on held servers, in cores.");

    /** Processor capacity of the held servers that tasks use. */
    private final Gauge mUsed =
            gauge("wagtailproxy_used_cores", "Processor room that tasks take up, in cores.");

    /** Version of the active configuration. */
    private final Gauge mVersion =
            gauge("wagtailproxy_configuration_version", "The configuration that is in force.");

    /** Age of the local copies of the store's data, by kind of data. */
    private final Gauge mAge =
            gauge(
                    "wagtailproxy_knowledge_age_seconds",
                    "Time since the store last confirmed what is believed.",
                    "of");

    private DispatchMetrics() {}

    /**
     * Creates the metrics.
     *
     * @return the metrics, never null
     */
    public static DispatchMetrics of() {
        return new DispatchMetrics();
    }

    /**
     * Records the answer to the caller of a job.
     *
     * @param outcome the outcome as a label value, not null
     * @param reason the reason for the outcome, one of a small set of texts, not null
     * @param priority the priority of the job
     * @param tookMillis milliseconds from the arrival of the job to the answer
     * @param objectiveMillis milliseconds within which a complete job meets its objective
     */
    public void jobAnswered(
            String outcome, String reason, int priority, long tookMillis, long objectiveMillis) {
        mAnswers.labelValues(outcome, reason).inc();
        mJobSeconds.labelValues(outcome).observe(tookMillis / MILLIS_PER_SECOND);
        boolean met = outcome.equals("complete") && tookMillis <= objectiveMillis;
        mObjectives.labelValues(Integer.toString(priority), Boolean.toString(met)).inc();
    }

    /**
     * Counts a request that was refused before a job was created for it.
     *
     * @param failure the type of the failure as a label value, not null
     */
    public void requestRefused(String failure) {
        mRefusals.labelValues(failure).inc();
    }

    /**
     * Records the first start of a job.
     *
     * @param priority the priority of the job
     * @param waitedMillis milliseconds from the arrival of the job to the start
     */
    public void jobStarted(int priority, long waitedMillis) {
        mWaitSeconds
                .labelValues(Integer.toString(priority))
                .observe(waitedMillis / MILLIS_PER_SECOND);
    }

    /**
     * Records the end of a run.
     *
     * @param end the kind of end as a label value, not null
     * @param done whether the run completed its task; only then is its run time recorded
     * @param tookMillis milliseconds from the start of the run to its end
     * @param expectedMillis the expected run time in milliseconds; the ratio is recorded only if it
     *     is above 0
     */
    public void runEnded(String end, boolean done, long tookMillis, long expectedMillis) {
        mRuns.labelValues(end).inc();
        if (done && expectedMillis > 0) {
            mRunRatio.observe((double) tookMillis / expectedMillis);
        }
    }

    /**
     * Counts a call to the store.
     *
     * @param call the kind of call as a label value, not null
     * @param outcome the outcome as a label value, not null
     */
    public void storeCalled(String call, String outcome) {
        mStoreCalls.labelValues(call, outcome).inc();
    }

    /**
     * Counts a line of the event log.
     *
     * @param event the event as a label value, not null
     */
    public void lineLogged(String event) {
        mEvents.labelValues(event).inc();
    }

    /**
     * Counts a client that was refused or disconnected because of a limit.
     *
     * @param listener the listener as a label value, not null
     * @param limit the limit as a label value, not null
     */
    public void clientLimited(String listener, String limit) {
        mLimited.labelValues(listener, limit).inc();
    }

    /**
     * Sets the data centres whose backend servers get no new tasks.
     *
     * @param names the data centres as label values, not null
     */
    public void setEvacuatedDataCentres(Collection<String> names) {
        mEvacuated.clear();
        names.forEach(name -> mEvacuated.labelValues(name).set(1));
    }

    /**
     * Sets what callers take up at present.
     *
     * @param connections the number of open connections
     * @param memoryBytes the memory of their requests and responses in bytes
     */
    public void setCallerLoad(int connections, long memoryBytes) {
        mCallerConnections.set(connections);
        mCallerMemory.set(memoryBytes);
    }

    /**
     * Counts records that were dropped before the metrics were created.
     *
     * @param records the number of dropped records, 0 or more
     */
    public void recordsDropped(long records) {
        mDropped.inc(records);
    }

    /**
     * Formats all metrics in the Prometheus text format.
     *
     * @param state the current state of the dispatcher, not null
     * @param version the version of the active configuration
     * @param agesMillis milliseconds since the store last confirmed each kind of data, not null
     * @return the formatted metrics, never null
     */
    public byte[] toPrometheusText(
            DispatchState state, long version, Map<String, Long> agesMillis) {
        mWaiting.clear();
        state.waitingByPriority()
                .forEach((priority, jobs) -> mWaiting.labelValues(priority.toString()).set(jobs));
        mOpen.set(state.openJobs());
        mLeads.set(state.leads() ? 1 : 0);
        mHeld.set(state.heldServers());
        mFree.set(state.freeCpuMillis() / MILLIS_PER_SECOND);
        mUsed.set(state.usedCpuMillis() / MILLIS_PER_SECOND);
        mVersion.set(version);
        agesMillis.forEach(
                (subject, millis) -> mAge.labelValues(subject).set(millis / MILLIS_PER_SECOND));
        ByteArrayOutputStream text = new ByteArrayOutputStream();
        try {
            PrometheusTextFormatWriter.create().write(text, mRegistry.scrape());
        } catch (IOException impossible) {
            throw new UncheckedIOException(impossible);
        }
        return text.toByteArray();
    }

    private Counter counter(String name, String help, String... labels) {
        return Counter.builder().name(name).help(help).labelNames(labels).register(mRegistry);
    }

    private Gauge gauge(String name, String help, String... labels) {
        return Gauge.builder().name(name).help(help).labelNames(labels).register(mRegistry);
    }

    private Histogram histogram(String name, String help, double[] bounds, String... labels) {
        return Histogram.builder()
                .name(name)
                .help(help)
                .labelNames(labels)
                .classicOnly()
                .classicUpperBounds(bounds)
                .register(mRegistry);
    }
}
