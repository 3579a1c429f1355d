package org.wagtailproxy.scheduling;

import org.wagtailproxy.fleet.ServerEntry;

/** What the directory says of one backend server. */
final class DirectoryListing {

    private ServerEntry mEntry;
    private boolean mDelisted;

    DirectoryListing(ServerEntry entry) {
        mEntry = entry;
    }

    /**
     * Takes over an entry, null once the directory no longer lists the server; returns true if it
     * listens elsewhere now.
     */
    boolean update(ServerEntry entry) {
        mDelisted = entry == null;
        if (mDelisted) {
            return false;
        }
        boolean moved = !entry.address().equals(mEntry.address());
        mEntry = entry;
        return moved;
    }

    /** Returns the last entry. */
    ServerEntry entry() {
        return mEntry;
    }

    /** Tests whether the directory no longer lists the server. */
    boolean isDelisted() {
        return mDelisted;
    }

    /** Tests whether the server is gone or about to go, and gets no new task. */
    boolean isLeaving() {
        return mDelisted || mEntry.draining();
    }
}
