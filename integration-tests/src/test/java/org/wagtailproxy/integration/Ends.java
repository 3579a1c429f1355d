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

/** Collects every end that anyone was told of each job. */
final class Ends {
    private final Cluster mCluster;
    private final Map<String, Set<String>> mTold = new ConcurrentHashMap<>();
    private final AtomicInteger mSilences = new AtomicInteger();

    Ends(Cluster cluster) {
        mCluster = cluster;
    }

    void ask(List<String> names) {
        mCluster.entries().parallelStream().forEach(entry -> ask(entry, names));
    }

    /** An instance that does not answer is left alone until the next round. */
    private void ask(Entry entry, List<String> names) {
        for (String name : names) {
            if (!askOne(entry, name)) {
                return;
            }
        }
    }

    private boolean askOne(Entry entry, String name) {
        try {
            String path = "/v1/jobs/" + name;
            Answer answer = Impatient.get(entry, path);
            if (answer.ended()) {
                mTold.computeIfAbsent(name, key -> ConcurrentHashMap.newKeySet())
                        .add(answer.state());
            }
            return true;
        } catch (IOException silent) {
            mSilences.incrementAndGet();
            return false;
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
            return false;
        }
    }

    int known() {
        return mTold.size();
    }

    Set<String> contradictions() {
        Map<String, Set<String>> sorted = new TreeMap<>(mTold);
        Set<String> contradictions = new TreeSet<>();
        sorted.forEach(
                (name, states) -> {
                    if (states.size() > 1) {
                        contradictions.add(name + states);
                    }
                });
        System.out.println("ends told of " + mTold.size() + " jobs, " + mSilences + " silences");
        return contradictions;
    }
}
