package org.wagtailproxy.scheduling;

import org.wagtailproxy.fleet.ServerEntry;

/** Holds the last directory entry of one backend server and whether it is still listed. */
final class DirectoryListing {

    private ServerEntry mEntry;
    private boolean mDelisted;

    DirectoryListing(ServerEntry entry) {
        mEntry = entry;
    }

    /**
     * Updates the entry.
     *
     * @param entry the new entry, null if the directory no longer lists the server
     * @return true if the address of the server has changed
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

    /** Returns the last entry, never null. */
    ServerEntry entry() {
        return mEntry;
    }

    boolean isDelisted() {
        return mDelisted;
    }

    /** Checks whether the server is not listed any more or draining, and gets no new task. */
    boolean isLeaving() {
        return mDelisted || mEntry.draining();
    }
}
