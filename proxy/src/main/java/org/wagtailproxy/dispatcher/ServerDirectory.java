package org.wagtailproxy.dispatcher;

import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.concurrent.TimeUnit;
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

    /** Notified of the entries. */
    public interface Listener {

        /**
         * The entries may have changed.
         *
         * @param entries all entries, not null
         */
        void onEntriesChanged(Collection<ServerEntry> entries);

        /**
         * The entries may include some from now on that the store no longer contains, or no longer
         * do.
         *
         * @param outdated true if they may
         */
        void onOutdatedChanged(boolean outdated);
    }

    /** Time in which live servers write their entries again after an outage of the store. */
    private static final long REREGISTRATION_MILLIS = 2500;

    private final EventLoop mLoop;
    private final Listener mListener;
    private final Map<ServerId, ServerEntry> mEntries = new HashMap<>();
    private Collection<ServerEntry> mStoreEntries = List.of();
    private boolean mStoreReachable;
    private boolean mEverReachable;
    private boolean mOutdated;
    private long mReachableAgainNanos;

    private ServerDirectory(EventLoop loop, Listener listener) {
        mLoop = loop;
        mListener = listener;
    }

    /**
     * Creates an empty directory.
     *
     * @param loop the event loop that it is confined to, not null
     * @param listener is notified of the entries, not null
     * @return the directory, never null
     */
    public static ServerDirectory of(EventLoop loop, Listener listener) {
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
        if (!reachable) {
            updateOutdated(true);
        }
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
        mListener.onEntriesChanged(List.copyOf(mEntries.values()));
        if (mStoreReachable && !reregistering) {
            updateOutdated(false);
        }
    }

    private void updateOutdated(boolean outdated) {
        if (outdated != mOutdated) {
            mOutdated = outdated;
            mListener.onOutdatedChanged(outdated);
        }
    }
}
