package org.wagtailproxy.integration;

import java.io.IOException;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;
import org.wagtailproxy.integration.Caller.Answer;
import org.wagtailproxy.integration.Cluster.Entry;

/**
 * Collects the final state of each job as every instance reports it, and finds jobs for which
 * different states were reported.
 */
final class ObservedEnds {
    private final Cluster mCluster;
    private final Map<String, Set<String>> mStatesByJob = new ConcurrentHashMap<>();
    private final AtomicInteger mUnansweredQueries = new AtomicInteger();

    ObservedEnds(Cluster cluster) {
        mCluster = cluster;
    }

    /** Queries the given jobs on all instances in parallel. */
    void queryAllInstances(List<String> names) {
        mCluster.entries().parallelStream().forEach(entry -> queryInstance(entry, names));
    }

    /** Stops at the first job for which the instance does not answer, until the next call. */
    private void queryInstance(Entry entry, List<String> names) {
        for (String name : names) {
            if (!queryJob(entry, name)) {
                return;
            }
        }
    }

    private boolean queryJob(Entry entry, String name) {
        try {
            String path = "/v1/jobs/" + name;
            Answer answer = ShortTimeoutClient.get(entry, path);
            if (answer.hasEnded()) {
                mStatesByJob
                        .computeIfAbsent(name, key -> ConcurrentHashMap.newKeySet())
                        .add(answer.state());
            }
            return true;
        } catch (IOException unanswered) {
            mUnansweredQueries.incrementAndGet();
            return false;
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
            return false;
        }
    }

    /** Returns how many jobs were reported as ended. */
    int endedJobCount() {
        return mStatesByJob.size();
    }

    /** Prints totals and returns the jobs that were reported both complete and failed. */
    Set<String> conflictingEnds() {
        Map<String, Set<String>> sorted = new TreeMap<>(mStatesByJob);
        Set<String> contradictions = new TreeSet<>();
        sorted.forEach(
                (name, states) -> {
                    if (states.size() > 1) {
                        contradictions.add(name + states);
                    }
                });
        System.out.println(
                "ends told of "
                        + mStatesByJob.size()
                        + " jobs, "
                        + mUnansweredQueries
                        + " silences");
        return contradictions;
    }
}
