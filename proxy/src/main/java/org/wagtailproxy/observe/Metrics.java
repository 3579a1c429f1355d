package org.wagtailproxy.observe;

import io.prometheus.metrics.core.metrics.Counter;
import io.prometheus.metrics.core.metrics.Gauge;
import io.prometheus.metrics.core.metrics.Histogram;
import io.prometheus.metrics.instrumentation.jvm.JvmMetrics;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import org.wagtailproxy.peer.ByteCounter;

/**
 * Defines and records the metrics of one instance of the daemon.
 *
 * <p>An end is the final result of a job. A service's listed backend servers are those in the
 * instance list of the platform; ejected ones are excluded from normal dispatch after failures.
 * docs/OPERATIONS.md describes each metric.
 */
public final class Metrics implements ByteCounter {

    private static final double NANOS_PER_SECOND = 1e9;

    private final PrometheusRegistry mRegistry = new PrometheusRegistry();
    private final Counter mJobs =
            counter("wagtailproxy_jobs", "Jobs by service and end.", "service", "end");
    private final Counter mRefusals =
            counter("wagtailproxy_refusals", "Refused requests by failure.", "failure");
    private final Counter mSends =
            counter(
                    "wagtailproxy_task_sends",
                    "Sent tasks by service and result.",
                    "service",
                    "result");
    private final Counter mPlatformCalls =
            counter("wagtailproxy_platform_calls", "Calls to the platform.", "call", "result");
    private final Counter mControlBytes =
            counter("wagtailproxy_control_bytes", "Control bytes by direction.", "direction");
    private final Counter mPeerBytes =
            counter("wagtailproxy_peer_bytes", "All bytes to and from peers.", "direction");
    private final Counter mReplications =
            counter(
                    "wagtailproxy_replications",
                    "Ends by how many neighbours keep them.",
                    "replicas");
    private final Gauge mDemand = gauge("wagtailproxy_demand_tasks", "Tasks queued or in flight.");
    private final Gauge mEjected =
            gauge("wagtailproxy_ejected_backend_servers", "Ejected servers.");
    private final Gauge mListedServers =
            gauge("wagtailproxy_listed_backend_servers", "Listed servers.");
    private final Histogram mJobSeconds =
            Histogram.builder()
                    .name("wagtailproxy_job_seconds")
                    .help("Time from acceptance to end.")
                    .labelNames("service")
                    .register(mRegistry);

    private Metrics() {}

    /**
     * Creates the metrics, including those of the Java virtual machine.
     *
     * @return the metrics, never null
     */
    public static Metrics of() {
        Metrics metrics = new Metrics();
        JvmMetrics.builder().register(metrics.mRegistry);
        return metrics;
    }

    /**
     * Returns the registry of all metrics, for exposition.
     *
     * @return the registry, never null
     */
    public PrometheusRegistry registry() {
        return mRegistry;
    }

    /**
     * Records the end of a job.
     *
     * @param service the service, not null
     * @param end the kind of end as a label value, not null
     * @param tookNanos nanoseconds from acceptance to end
     */
    public void jobEnded(String service, String end, long tookNanos) {
        mJobs.labelValues(service, end).inc();
        mJobSeconds.labelValues(service).observe(tookNanos / NANOS_PER_SECOND);
    }

    /**
     * Counts a refused request.
     *
     * @param failure the type of the failure as a label value, not null
     */
    public void requestRefused(String failure) {
        mRefusals.labelValues(failure).inc();
    }

    /**
     * Counts a task that was sent.
     *
     * @param service the service, not null
     * @param result the result of the send as a label value, not null
     */
    public void taskSent(String service, String result) {
        mSends.labelValues(service, result).inc();
    }

    /**
     * Counts a call to the platform.
     *
     * @param call the kind of call as a label value, not null
     * @param reached whether the platform answered
     */
    public void platformCalled(String call, boolean reached) {
        mPlatformCalls.labelValues(call, reached ? "answered" : "failed").inc();
    }

    @Override
    public void controlBytes(String direction, int bytes) {
        mControlBytes.labelValues(direction).inc(bytes);
    }

    @Override
    public void peerBytes(String direction, int bytes) {
        mPeerBytes.labelValues(direction).inc(bytes);
    }

    /**
     * Counts the replication of an end, the final result of a job.
     *
     * @param replicas the number of neighbours that store the end
     */
    public void endReplicated(int replicas) {
        mReplications.labelValues(Integer.toString(replicas)).inc();
    }

    /**
     * Updates the gauges of the dispatch of a service.
     *
     * @param service the service, not null
     * @param demand number of tasks that are queued or in flight
     * @param listed number of listed backend servers
     * @param ejected number of ejected backend servers
     */
    public void updateDispatch(String service, int demand, int listed, int ejected) {
        mDemand.labelValues(service).set(demand);
        mListedServers.labelValues(service).set(listed);
        mEjected.labelValues(service).set(ejected);
    }

    private Counter counter(String name, String help, String... labels) {
        return Counter.builder().name(name).help(help).labelNames(labels).register(mRegistry);
    }

    private Gauge gauge(String name, String help) {
        return Gauge.builder().name(name).help(help).labelNames("service").register(mRegistry);
    }
}
