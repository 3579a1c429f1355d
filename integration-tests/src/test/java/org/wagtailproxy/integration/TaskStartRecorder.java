package org.wagtailproxy.integration;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.atomic.AtomicInteger;

/** Counts the starts of each task on the backend servers, independently of the dispatcher. */
final class TaskStartRecorder {

    private final Map<String, AtomicInteger> mStartCounts = new ConcurrentHashMap<>();
    private final Map<String, Long> mLastStartNanos = new ConcurrentHashMap<>();
    private final ConcurrentLinkedQueue<Map<String, String>> mEvents =
            new ConcurrentLinkedQueue<>();

    void recordStart(String task, String backendServer) {
        mStartCounts.computeIfAbsent(task, key -> new AtomicInteger()).incrementAndGet();
        mLastStartNanos.put(backendServer, System.nanoTime());
    }

    void recordEvent(Map<String, String> event) {
        mEvents.add(event);
    }

    /** Returns how many different tasks were started. */
    int startedTaskCount() {
        return mStartCounts.size();
    }

    /** Returns how often the tasks of a job were started, by task. */
    Map<String, Integer> startsOf(String job) {
        Map<String, Integer> starts = new TreeMap<>();
        mStartCounts.forEach(
                (task, count) -> {
                    if (task.startsWith(job + "/")) {
                        starts.put(task, count.get());
                    }
                });
        return starts;
    }

    /** Returns the tasks that were started more than once. */
    List<String> startedTwice() {
        List<String> repeatedTasks = new ArrayList<>();
        mStartCounts.forEach(
                (task, count) -> {
                    if (count.get() > 1) {
                        repeatedTasks.add(task + " x" + count);
                    }
                });
        return repeatedTasks;
    }

    long lastStartNanos(String backendServer) {
        return mLastStartNanos.getOrDefault(backendServer, Long.MIN_VALUE);
    }
}
