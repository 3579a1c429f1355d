package org.wagtailproxy.dispatcher;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.concurrent.TimeUnit;

/** Runs the events of a simulation in the order of their virtual times, on one thread. */
final class VirtualTime {

    final Random mRandom;
    final List<String> mViolations = new ArrayList<>();
    private final List<Line> mTrace = new ArrayList<>();
    private final PriorityQueue<Event> mEvents =
            new PriorityQueue<>(
                    Comparator.comparingLong(Event::atNanos).thenComparingLong(Event::number));
    private final long mStartNanos = TimeUnit.SECONDS.toNanos(1000);
    private long mNowNanos = mStartNanos;
    private long mNextNumber;

    private record Event(long atNanos, long number, Runnable action) {}

    private record Line(long atNanos, String text) {}

    VirtualTime(long seed) {
        mRandom = new Random(seed);
    }

    long nowNanos() {
        return mNowNanos;
    }

    long nowMillis() {
        return TimeUnit.NANOSECONDS.toMillis(mNowNanos - mStartNanos);
    }

    void at(long nanos, Runnable action) {
        mEvents.add(new Event(Math.max(nanos, mNowNanos), mNextNumber++, action));
    }

    void afterNanos(long nanos, Runnable action) {
        at(mNowNanos + nanos, action);
    }

    void after(long millis, Runnable action) {
        afterNanos(TimeUnit.MILLISECONDS.toNanos(millis), action);
    }

    /** Runs events until a time or the first violation. */
    void run(long untilMillis) {
        long endNanos = mStartNanos + TimeUnit.MILLISECONDS.toNanos(untilMillis);
        while (mViolations.isEmpty()
                && !mEvents.isEmpty()
                && mEvents.peek().atNanos() <= endNanos) {
            Event event = mEvents.poll();
            mNowNanos = event.atNanos();
            event.action().run();
        }
    }

    boolean chance(double probability) {
        return mRandom.nextDouble() < probability;
    }

    long between(long from, long to) {
        return from + mRandom.nextInt(Math.toIntExact(to - from + 1));
    }

    <T> T oneOf(List<T> values) {
        return values.get(mRandom.nextInt(values.size()));
    }

    void note(String text) {
        mTrace.add(new Line(mNowNanos, text));
    }

    void violation(String text) {
        note("VIOLATION " + text);
        mViolations.add(nowMillis() + " ms: " + text);
    }

    /** Returns the lines of the trace, all of them or those that contain one of some words. */
    List<String> trace(List<String> words) {
        return mTrace.stream()
                .filter(line -> words.isEmpty() || words.stream().anyMatch(line.text()::contains))
                .map(
                        line ->
                                String.format(
                                        "%.3f %s",
                                        (line.atNanos() - mStartNanos) / 1e6, line.text()))
                .toList();
    }
}
