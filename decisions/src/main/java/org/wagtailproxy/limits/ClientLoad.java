package org.wagtailproxy.limits;

import io.vavr.control.Option;
import java.util.ArrayList;
import java.util.List;
import java.util.Objects;

/**
 * Decides which clients of a listener keep their connections.
 *
 * <p>Designed for clients that open connections without end, send requests ahead, do not finish
 * requests or do not read responses, beside ordinary callers with few bytes and short requests. At
 * the maximum of connections the one that has kept the server waiting for longest gives way to a
 * new one. At the maximum of memory the connection with the most gives way to one with less. An
 * eighth of the connections is left to clients whose requests are not being handled, so that
 * clients with slow requests don't lock others out.
 *
 * <p>Times are counted in ticks, so that a pause of this process is not held against clients. Not
 * thread-safe.
 */
public final class ClientLoad {

    /** The time between two calls of {@link #tick}, in milliseconds. */
    public static final long TICK_MILLIS = 1000;

    private final List<Account> mAccounts = new ArrayList<>();
    private ClientLimits mLimits;
    private long mUsedBytes;
    private long mNextWait;
    private int mHandledRequests;

    /** A connection of a client. */
    public interface Client {

        /**
         * Closes the connection because of a limit. The account of the client is closed already.
         *
         * @param limit the limit, not null
         */
        void closeBecauseOf(ExceededLimit limit);
    }

    /** What the server is waiting for from a client. */
    private enum Wait {
        /** For nothing: a request is being handled. */
        NONE,
        /** For the next request. */
        REQUEST,
        /** For the rest of the header lines. */
        HEADER,
        /** For the rest of the body. */
        BODY
    }

    private ClientLoad(ClientLimits limits) {
        mLimits = limits;
    }

    /**
     * Creates the state of a listener without connections.
     *
     * @param limits the limits, not null
     * @return the state, never null
     */
    public static ClientLoad of(ClientLimits limits) {
        return new ClientLoad(Objects.requireNonNull(limits, "limits"));
    }

    /**
     * Replaces the limits. Connections beyond them are not closed.
     *
     * @param limits the limits, not null
     */
    public void updateLimits(ClientLimits limits) {
        mLimits = Objects.requireNonNull(limits, "limits");
    }

    /**
     * Returns the limits.
     *
     * @return the limits, never null
     */
    public ClientLimits limits() {
        return mLimits;
    }

    /**
     * Returns the number of open connections.
     *
     * @return the number
     */
    public int connections() {
        return mAccounts.size();
    }

    /**
     * Returns the memory that requests and responses take up.
     *
     * @return the memory in bytes
     */
    public long usedBytes() {
        return mUsedBytes;
    }

    /**
     * Opens the account of a new connection. Closes another connection if there are too many.
     *
     * @param client closes the connection, not null
     * @return the account, none if the connection is not accepted
     */
    public Option<Account> open(Client client) {
        if (mAccounts.size() >= mLimits.maxConnections()) {
            Account idlest = null;
            for (Account account : mAccounts) {
                boolean isIdler = idlest == null || account.mWaitNumber < idlest.mWaitNumber;
                if (account.mWait != Wait.NONE && isIdler) {
                    idlest = account;
                }
            }
            if (idlest == null) {
                return Option.none();
            }
            idlest.evict(ExceededLimit.CONNECTIONS);
        }
        Account account = new Account(client);
        mAccounts.add(account);
        return Option.some(account);
    }

    /**
     * Closes the connections that have kept the server waiting for too long.
     *
     * @return true if there is one for which this method has to be called again
     */
    public boolean tick() {
        boolean waiting = false;
        for (Account account : List.copyOf(mAccounts)) {
            Option<ExceededLimit> exceeded = account.tick();
            if (exceeded.isDefined()) {
                account.evict(exceeded.get());
            }
            waiting |= account.isTimed();
        }
        return waiting;
    }

    /** Counts what one connection takes up. */
    public final class Account {

        private final Client mClient;
        private Wait mWait = Wait.REQUEST;

        /** Grows with each byte that the client sends, in the order of all connections. */
        private long mWaitNumber = mNextWait++;

        private long mHeldBytes;
        private int mRequestTicks;
        private int mUnreadTicks;
        private boolean mHasUnreadResponses;
        private boolean mHasHandledRequest;
        private boolean mClosed;

        private Account(Client client) {
            mClient = Objects.requireNonNull(client, "client");
        }

        /**
         * Returns the memory that the connection takes up.
         *
         * @return the memory in bytes
         */
        public long heldBytes() {
            return mHeldBytes;
        }

        /** Records that the client has sent header lines but not all of them. */
        public void awaitHeader() {
            await(Wait.HEADER);
        }

        /** Records that the client has sent a request but not all of its body. */
        public void awaitBody() {
            await(Wait.BODY);
        }

        /** Records that the client has sent all of a request or none, and is not being served. */
        public void awaitRequest() {
            await(Wait.REQUEST);
            mRequestTicks = 0;
        }

        /** Records that a request of the client is being handled. */
        public void handleRequest() {
            mWait = Wait.NONE;
            mRequestTicks = 0;
        }

        /**
         * Records that a request of the client begins to be handled.
         *
         * @return false if too many others are, and the request has to be refused
         */
        public boolean beginRequest() {
            if (mClosed || mHandledRequests >= mLimits.maxHandledRequests()) {
                return false;
            }
            mHasHandledRequest = true;
            mHandledRequests++;
            handleRequest();
            return true;
        }

        /** Records that the request has been handled. */
        public void endRequest() {
            if (mHasHandledRequest) {
                mHasHandledRequest = false;
                mHandledRequests--;
            }
        }

        /**
         * Records whether responses wait to be read by the client.
         *
         * @param unread true if some do
         */
        public void setUnreadResponses(boolean unread) {
            mHasUnreadResponses = unread;
            if (!unread) {
                mUnreadTicks = 0;
            }
        }

        /**
         * Takes memory for the connection. Closes other connections that take up more if there is
         * too little.
         *
         * @param bytes the memory in bytes
         * @return false if there is too little, or if the connection has been closed
         */
        public boolean reserve(long bytes) {
            while (!mClosed && mUsedBytes + bytes > mLimits.maxMemoryBytes()) {
                Account largest = this;
                for (Account account : mAccounts) {
                    if (account.mHeldBytes > largest.mHeldBytes) {
                        largest = account;
                    }
                }
                if (largest.mHeldBytes <= mHeldBytes + bytes) {
                    return false;
                }
                largest.evict(ExceededLimit.MEMORY);
            }
            if (mClosed) {
                return false;
            }
            add(bytes);
            return true;
        }

        /**
         * Counts memory that the connection takes up in any case, such as that of a response.
         *
         * @param bytes the memory in bytes
         */
        public void add(long bytes) {
            if (!mClosed) {
                mHeldBytes += bytes;
                mUsedBytes += bytes;
            }
        }

        /**
         * Returns memory of the connection.
         *
         * @param bytes the memory in bytes, which has been reserved or added before
         */
        public void release(long bytes) {
            if (!mClosed) {
                mHeldBytes -= bytes;
                mUsedBytes -= bytes;
            }
        }

        /** Closes the account, because the connection is closed. */
        public void close() {
            endRequest();
            if (!mClosed) {
                mUsedBytes -= mHeldBytes;
                mHeldBytes = 0;
                mClosed = true;
                mAccounts.remove(this);
            }
        }

        private void await(Wait wait) {
            mWait = wait;
            mWaitNumber = mNextWait++;
        }

        /**
         * Checks whether a time limit applies to what the client does at present.
         *
         * @return true if {@link #tick} has to be called
         */
        public boolean isTimed() {
            boolean incomplete = mWait == Wait.HEADER || mWait == Wait.BODY;
            return !mClosed && (incomplete || mHasUnreadResponses);
        }

        private Option<ExceededLimit> tick() {
            if (mHasUnreadResponses && ++mUnreadTicks > ticks(mLimits.requestMillis())) {
                return Option.some(ExceededLimit.RESPONSE_TIME);
            }
            if (mWait != Wait.HEADER && mWait != Wait.BODY) {
                return Option.none();
            }
            mRequestTicks++;
            if (mWait == Wait.HEADER && mRequestTicks > ticks(mLimits.headerMillis())) {
                return Option.some(ExceededLimit.HEADER_TIME);
            }
            return mRequestTicks > ticks(mLimits.requestMillis())
                    ? Option.some(ExceededLimit.REQUEST_TIME)
                    : Option.none();
        }

        private void evict(ExceededLimit limit) {
            close();
            mClient.closeBecauseOf(limit);
        }

        /** The first tick may come at once, so one more than the time has passed. */
        private static long ticks(long millis) {
            return (millis + TICK_MILLIS - 1) / TICK_MILLIS + 1;
        }
    }
}
