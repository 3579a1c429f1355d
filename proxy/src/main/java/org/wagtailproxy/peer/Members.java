package org.wagtailproxy.peer;

import java.util.Objects;
import java.util.concurrent.locks.ReentrantLock;
import java.util.function.Function;
import org.wagtailproxy.membership.Member;
import org.wagtailproxy.membership.MemberTable;

/** Guards the member table by its own lock. */
public final class Members {

    private final ReentrantLock mLock = new ReentrantLock();
    private final MemberTable mTable;
    private volatile Member mSelf;

    private Members(Member self, MemberTable table) {
        mSelf = self;
        mTable = table;
    }

    /**
     * Guards a table.
     *
     * @param self this instance, not null
     * @param table the table, used by nobody else, not null
     * @return the guard, never null
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

    /** Marks this instance as stopping. */
    public void markLeaving() {
        mSelf = mSelf.asLeaving();
    }

    /**
     * Uses the table under its lock.
     *
     * @param use what to do; must not block, not null
     * @param <T> the type of the result
     * @return the result of the use
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
