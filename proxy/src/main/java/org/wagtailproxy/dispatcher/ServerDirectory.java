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
 * The known backend servers, as last read from the store. Confined to the event loop.
 *
 * <p>Entries may expire while the store is unreachable although their servers are alive. Once the
 * store is reachable again, missing entries are kept until their servers have had time to write
 * them again.
 */
public final class ServerDirectory {

    /** Time in which live servers write their entries again after an outage of the store. */
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
     * @param loop the event loop that it is confined to, not null
     * @param listener receives all entries after each change, not null
     * @return the directory, never null
     */
    public static ServerDirectory of(EventLoop loop, Consumer<Collection<ServerEntry>> listener) {
        Objects.requireNonNull(loop, "loop");
        return new ServerDirectory(loop, Objects.requireNonNull(listener, "listener"));
    }

    /**
     * Records whether the store is reachable.
     *
     * @param reachable true if it answers
     */
    public void updateStoreReachable(boolean reachable) {
        if (reachable && !mStoreReachable && mEverReachable) {
            mReachableAgainNanos = mLoop.nowNanos();
            mLoop.schedule(REREGISTRATION_MILLIS + 1, this::publishEntries);
        }
        mEverReachable |= reachable;
        mStoreReachable = reachable;
    }

    /**
     * Updates the entries that were read from the store.
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
