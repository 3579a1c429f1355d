package org.wagtailproxy.scheduling;

import org.wagtailproxy.fleet.ServerEntry;

/** What the directory says of one backend server. */
final class DirectoryListing {

    private ServerEntry mEntry;
    private boolean mGone;

    DirectoryListing(ServerEntry entry) {
        mEntry = entry;
    }

    /**
     * Takes over an entry, null once the directory no longer lists the server; returns true if it
     * listens elsewhere now.
     */
    boolean list(ServerEntry entry) {
        mGone = entry == null;
        if (mGone) {
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
    boolean gone() {
        return mGone;
    }

    /** Tests whether the server is gone or about to go, and gets no new task. */
    boolean leaving() {
        return mGone || mEntry.draining();
    }
}
