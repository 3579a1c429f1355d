package org.wagtailproxy.dispatcher;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.wagtailproxy.serve.EventLoop;

/**
 * Decides when the store is asked whether this instance still coordinates the stored jobs: at short
 * intervals while there are stored jobs, and for requests that depend on it. Confined to the event
 * loop.
 */
final class PendingConfirmations {

    /** Pause between two calls; several fit into the time for which an answer is relied on. */
    private static final long INTERVAL_NANOS = TimeUnit.MILLISECONDS.toNanos(300);

    private final EventLoop mLoop;
    private final Runnable mAskStore;
    private final List<Request> mRequests = new ArrayList<>();
    private long mAskedNanos = Long.MIN_VALUE / 2;

    /** A request that waits for an answer to a call that is sent after it came. */
    private record Request(long arrivedNanos, Consumer<Boolean> answer) {}

    /**
     * Creates an object without requests.
     *
     * @param askStore asks the store; the result is passed to {@link #onResult}
     */
    PendingConfirmations(EventLoop loop, Runnable askStore) {
        mLoop = loop;
        mAskStore = askStore;
    }

    /** Asks the store if it was not asked lately. */
    void tick() {
        if (mLoop.nowNanos() - mAskedNanos >= INTERVAL_NANOS) {
            request();
        }
    }

    /** Asks the store now. */
    void request() {
        mAskedNanos = mLoop.nowNanos();
        mAskStore.run();
    }

    /**
     * Asks the store, together with other requests that come until the present call is answered.
     *
     * @param answer receives whether the store has confirmed it
     */
    void request(Consumer<Boolean> answer) {
        boolean isFirst = mRequests.isEmpty();
        mRequests.add(new Request(mLoop.nowNanos(), answer));
        if (isFirst) {
            request();
        }
    }

    /** Answers the requests that came before the store was asked, and asks for the others. */
    void onResult(long askedNanos, boolean isConfirmed) {
        List<Request> answered = new ArrayList<>();
        for (Request request : mRequests) {
            if (request.arrivedNanos() <= askedNanos) {
                answered.add(request);
            }
        }
        if (answered.isEmpty()) {
            return;
        }
        mRequests.removeAll(answered);
        answered.forEach(request -> request.answer().accept(isConfirmed));
        if (!mRequests.isEmpty()) {
            request();
        }
    }

    /** Answers all requests, since this instance does not coordinate the stored jobs any more. */
    void fail() {
        List<Request> requests = List.copyOf(mRequests);
        mRequests.clear();
        requests.forEach(request -> request.answer().accept(false));
    }
}
