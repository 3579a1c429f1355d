package org.wagtailproxy.integration;

import java.io.IOException;
import org.wagtailproxy.integration.Cluster.Backend;
import org.wagtailproxy.integration.Cluster.Entry;

/**
 * Represents the results of one dispatch policy under a load.
 *
 * @param policy the policy
 * @param p50 median over the tasks of the response time divided by the ideal response time
 * @param p99 99th percentile of this ratio
 * @param mean mean of this ratio
 * @param messagesPerTask messages to and from backend servers for each task, at least 2
 * @param refusedTasks tasks that a backend server refused for lack of a slot
 * @param refusedJobs jobs refused at submission
 * @param failedJobs jobs that ended failed
 * @param tasks tasks of all jobs that ended
 * @param controlBytesPerSecond control bytes sent and received per second, mean of the instances
 */
record LoadReport(
        String policy,
        double p50,
        double p99,
        double mean,
        double messagesPerTask,
        int refusedTasks,
        int refusedJobs,
        int failedJobs,
        int tasks,
        double controlBytesPerSecond) {

    static final String HEADER =
            String.format(
                    "%-20s %7s %8s %7s %9s %8s %8s %7s %7s %10s",
                    "policy",
                    "p50",
                    "p99",
                    "mean",
                    "msg/task",
                    "wasted",
                    "refJobs",
                    "failed",
                    "tasks",
                    "control/s");

    static LoadReport of(String policy, Cluster cluster, OpenLoopLoad load)
            throws IOException, InterruptedException {
        double[] ratios = load.sortedLatencyRatios();
        double sum = 0;
        for (double ratio : ratios) {
            sum += ratio;
        }
        int started = 0;
        int refused = 0;
        for (Backend backend : cluster.backends()) {
            started += backend.standIn().startedTasks();
            refused += backend.standIn().refusedTasks();
        }
        double controlBytes = 0;
        for (Entry entry : cluster.entries()) {
            controlBytes += totalControlBytes(entry);
        }
        return new LoadReport(
                policy,
                ratios[ratios.length / 2],
                ratios[(int) (ratios.length * 0.99)],
                sum / ratios.length,
                2.0 * (started + refused) / started,
                refused,
                load.refusedJobs(),
                load.failedJobs(),
                load.taskCount(),
                controlBytes / cluster.entries().size() / load.elapsedSeconds());
    }

    /** Returns the control bytes sent and received by an instance since its start. */
    static double totalControlBytes(Entry entry) throws IOException, InterruptedException {
        double sum = 0;
        String metrics = new Caller().send(entry, "GET", "/metrics", "").body().asText();
        for (String line : metrics.split("\n")) {
            if (line.startsWith("wagtailproxy_control_bytes_total")) {
                sum += Double.parseDouble(line.substring(line.lastIndexOf(' ') + 1));
            }
        }
        return sum;
    }

    @Override
    public String toString() {
        return String.format(
                "%-20s %7.2f %8.2f %7.2f %9.4f %8d %8d %7d %7d %10.0f",
                policy,
                p50,
                p99,
                mean,
                messagesPerTask,
                refusedTasks,
                refusedJobs,
                failedJobs,
                tasks,
                controlBytesPerSecond);
    }
}
