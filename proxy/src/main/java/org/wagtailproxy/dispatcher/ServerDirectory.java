package org.wagtailproxy.dispatcher;

import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.wagtailproxy.fleet.ServerEntry;
import org.wagtailproxy.fleet.ServerId;
import org.wagtailproxy.serve.EventLoop;

/**
 * What is believed of the directory of backend servers. Confined to the event loop.
 *
 * <p>Entries may lapse while the store is away although their servers live. After its return,
 * entries that are missing are kept until their servers have had time to write them again.
 */
public final class ServerDirectory {

    /** Time in which living servers write their entries again after an outage. */
    private static final long REREGISTRATION_MILLIS = 2500;

    private final EventLoop mLoop;
    private final Consumer<Collection<ServerEntry>> mListener;
    private final Map<ServerId, ServerEntry> mEntries = new HashMap<>();
    private Collection<ServerEntry> mStoreEntries = List.of();
    private boolean mStoreReachable;
    private boolean mEverReachable;
    private long mReachableAgainNanos;

    private ServerDirectory(EventLoop loop, Consumer<Collection<ServerEntry>> listener) {
        mLoop = loop;
        mListener = listener;
    }

    /**
     * Creates an empty directory.
     *
     * @param loop where it runs, not null
     * @param listener takes all entries after each change, not null
     * @return the directory, never null
     */
    public static ServerDirectory of(EventLoop loop, Consumer<Collection<ServerEntry>> listener) {
        Objects.requireNonNull(loop, "loop");
        return new ServerDirectory(loop, Objects.requireNonNull(listener, "listener"));
    }

    /**
     * Takes over that the store was reached or lost.
     *
     * @param reachable true if it answers
     */
    public void updateStoreReachable(boolean reachable) {
        if (reachable && !mStoreReachable && mEverReachable) {
            mReachableAgainNanos = mLoop.nowNanos();
            mLoop.later(REREGISTRATION_MILLIS + 1, this::publishEntries);
        }
        mEverReachable |= reachable;
        mStoreReachable = reachable;
    }

    /**
     * Takes over the entries in the store.
     *
     * @param entries the entries that name a server, not null
     */
    public void updateEntries(Collection<ServerEntry> entries) {
        mStoreEntries = List.copyOf(entries);
        publishEntries();
    }

    private void publishEntries() {
        boolean reregistering =
                mReachableAgainNanos != 0
                        && mLoop.nowNanos() - mReachableAgainNanos
                                < TimeUnit.MILLISECONDS.toNanos(REREGISTRATION_MILLIS);
        if (!reregistering) {
            mEntries.clear();
        }
        for (ServerEntry entry : mStoreEntries) {
            mEntries.put(entry.id(), entry);
        }
        mListener.accept(List.copyOf(mEntries.values()));
    }
}
