package org.wagtailproxy.adapter;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import org.wagtailproxy.identity.HostAddress;

/** Clients that hand jobs in at a fixed rate and send them again, once, after no answer. */
final class ReviewLoad implements AutoCloseable {

    private static final int PATIENCE_MILLIS = 1500;
    private static final long RESEND_MILLIS = 1300;

    private final ReviewRecord mRecord;
    private final ExecutorService mClients = Executors.newCachedThreadPool();
    private final List<Thread> mSources = new ArrayList<>();
    private final Random mRandom = new Random(7);
    private volatile boolean mOver;

    ReviewLoad(ReviewRecord record) {
        mRecord = record;
    }

    /** Hands in a job of the given body each interval, at an address of the given source. */
    void start(long intervalMillis, Supplier<HostAddress> address, Supplier<String> body) {
        Thread source =
                new Thread(
                        () -> {
                            while (!mOver) {
                                mClients.execute(() -> handIn(address, body.get()));
                                try {
                                    TimeUnit.MILLISECONDS.sleep(intervalMillis);
                                } catch (InterruptedException interrupted) {
                                    return;
                                }
                            }
                        });
        source.setDaemon(true);
        mSources.add(source);
        source.start();
    }

    <T> T draw(List<T> values) {
        synchronized (mRandom) {
            return values.get(mRandom.nextInt(values.size()));
        }
    }

    private void handIn(Supplier<HostAddress> address, String body) {
        String id = ReviewClient.newId();
        for (int attempt = 1; attempt <= 2 && !mOver; attempt++) {
            HostAddress instance = address.get();
            mRecord.write("POST " + id + " to " + instance + " " + body);
            ReviewClient.Answer answer =
                    ReviewClient.send(
                            instance,
                            "POST",
                            ReviewFleet.PREFIX + id,
                            body,
                            PATIENCE_MILLIS);
            mRecord.write("answer to POST " + id + ": " + answer);
            if (answer.status() > 0 && answer.status() != 502 && answer.status() != 504) {
                return;
            }
            try {
                TimeUnit.MILLISECONDS.sleep(RESEND_MILLIS);
            } catch (InterruptedException interrupted) {
                return;
            }
        }
    }

    /** Ends the load. */
    @Override
    public void close() {
        mOver = true;
        mSources.forEach(Thread::interrupt);
        mClients.shutdown();
    }

    /** Returns the body of a job of one step. */
    static String job(String kind, int tasks, int cpuMillis, int millis, String stepFields) {
        return "{\"spec\":\"cpu="
                + cpuMillis
                + " ms="
                + millis
                + "\""
                + kind
                + ",\"phases\":[{\"replicas\":"
                + tasks
                + ",\"cpu\":"
                + cpuMillis
                + ",\"mem_mb\":64,\"estimate_ms\":"
                + Math.max(1, millis)
                + stepFields
                + "}]}";
    }
}
