package org.wagtailproxy.peer;

import java.util.Objects;
import java.util.concurrent.locks.ReentrantLock;
import java.util.function.Function;
import org.wagtailproxy.membership.Member;
import org.wagtailproxy.membership.MemberTable;

/**
 * Provides synchronized access to the {@link MemberTable}, and stores the member that represents
 * this instance.
 */
public final class Members {

    private final ReentrantLock mLock = new ReentrantLock();
    private final MemberTable mTable;
    private volatile Member mSelf;

    private Members(Member self, MemberTable table) {
        mSelf = self;
        mTable = table;
    }

    /**
     * Creates the synchronized access to a table.
     *
     * @param self this instance, not null
     * @param table the table, which must not be used otherwise, not null
     * @return the members, never null
     */
    public static Members of(Member self, MemberTable table) {
        return new Members(self, Objects.requireNonNull(table, "table"));
    }

    /**
     * Returns this instance.
     *
     * @return the member, never null
     */
    public Member self() {
        return mSelf;
    }

    /** Marks this instance as leaving, which its heartbeats report from now on. */
    public void markLeaving() {
        mSelf = mSelf.asLeaving();
    }

    /**
     * Applies a function to the table under the lock.
     *
     * @param use the function; must not block, not null
     * @param <T> the type of the result
     * @return the result of the function
     */
    public <T> T with(Function<MemberTable, T> use) {
        mLock.lock();
        try {
            return use.apply(mTable);
        } finally {
            mLock.unlock();
        }
    }
}
