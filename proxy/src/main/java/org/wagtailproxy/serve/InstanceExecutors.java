package org.wagtailproxy.serve;

import java.io.Closeable;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ScheduledThreadPoolExecutor;
import java.util.concurrent.SynchronousQueue;
import java.util.concurrent.ThreadFactory;
import java.util.concurrent.ThreadPoolExecutor;
import java.util.concurrent.ThreadPoolExecutor.CallerRunsPolicy;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

/** Holds the executors of an instance, one for each kind of work by how it may block. */
final class InstanceExecutors implements Closeable {

    private static final int MIN_WORKERS = 4;
    private static final int HTTP_THREADS = 64;
    private static final int MAX_QUEUED_HTTP_CALLS = 4000;
    private static final int BLOCKING_THREADS = 64;
    private static final int TIMER_THREADS = 4;
    private static final long KEEP_ALIVE_SECONDS = 30;

    /** Runs work that never blocks for long. */
    final ExecutorService mWorkers;

    /** Runs HTTP calls that have been received completely. */
    final ExecutorService mHttp;

    /** Runs work that blocks until the platform answers or an event occurs. */
    final ExecutorService mBlocking;

    /** Runs heartbeats and the exchange of views, which must not queue behind other work. */
    final ExecutorService mControl;

    /** Runs recurring work. */
    final ScheduledExecutorService mTimers;

    InstanceExecutors() {
        int workers = Math.max(MIN_WORKERS, Runtime.getRuntime().availableProcessors());
        mWorkers =
                new ThreadPoolExecutor(
                        workers,
                        workers,
                        KEEP_ALIVE_SECONDS,
                        TimeUnit.SECONDS,
                        new LinkedBlockingQueue<>(),
                        threadFactory("worker"));
        mHttp =
                new ThreadPoolExecutor(
                        HTTP_THREADS,
                        HTTP_THREADS,
                        KEEP_ALIVE_SECONDS,
                        TimeUnit.SECONDS,
                        new ArrayBlockingQueue<>(MAX_QUEUED_HTTP_CALLS),
                        threadFactory("http"),
                        new CallerRunsPolicy());
        ((ThreadPoolExecutor) mHttp).allowCoreThreadTimeOut(true);
        mBlocking =
                new ThreadPoolExecutor(
                        0,
                        BLOCKING_THREADS,
                        KEEP_ALIVE_SECONDS,
                        TimeUnit.SECONDS,
                        new SynchronousQueue<>(),
                        threadFactory("blocking"),
                        new CallerRunsPolicy());
        mControl = java.util.concurrent.Executors.newSingleThreadExecutor(threadFactory("control"));
        mTimers = new ScheduledThreadPoolExecutor(TIMER_THREADS, threadFactory("timer"));
    }

    @Override
    public void close() {
        mTimers.shutdownNow();
        mHttp.shutdownNow();
        mBlocking.shutdownNow();
        mControl.shutdownNow();
        mWorkers.shutdownNow();
    }

    private static ThreadFactory threadFactory(String name) {
        AtomicInteger count = new AtomicInteger();
        return action -> {
            Thread thread = new Thread(action, name + "-" + count.incrementAndGet());
            thread.setDaemon(true);
            return thread;
        };
    }
}
