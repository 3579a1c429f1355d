package org.wagtailproxy.integration;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.atomic.AtomicInteger;

/** Counts every start of every task, independently of the dispatcher. */
final class Witness {

    private final Map<String, AtomicInteger> mStarts = new ConcurrentHashMap<>();
    private final Map<String, Long> mLastStartNanos = new ConcurrentHashMap<>();
    private final ConcurrentLinkedQueue<Map<String, String>> mNotes = new ConcurrentLinkedQueue<>();

    void started(String task, String backendServer) {
        mStarts.computeIfAbsent(task, key -> new AtomicInteger()).incrementAndGet();
        mLastStartNanos.put(backendServer, System.nanoTime());
    }

    void note(Map<String, String> note) {
        mNotes.add(note);
    }

    /** Returns how many different tasks were started. */
    int tasks() {
        return mStarts.size();
    }

    /** Returns how often the tasks of a job were started, by task. */
    Map<String, Integer> startsOf(String job) {
        Map<String, Integer> starts = new TreeMap<>();
        mStarts.forEach(
                (task, count) -> {
                    if (task.startsWith(job + "/")) {
                        starts.put(task, count.get());
                    }
                });
        return starts;
    }

    /** Returns the tasks that were started more than once. */
    List<String> startedTwice() {
        List<String> twice = new ArrayList<>();
        mStarts.forEach(
                (task, count) -> {
                    if (count.get() > 1) {
                        twice.add(task + " x" + count);
                    }
                });
        return twice;
    }

    long lastStartNanos(String backendServer) {
        return mLastStartNanos.getOrDefault(backendServer, Long.MIN_VALUE);
    }
}
