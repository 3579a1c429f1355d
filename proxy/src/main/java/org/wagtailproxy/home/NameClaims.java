package org.wagtailproxy.home;

import io.vavr.control.Either;
import io.vavr.control.Option;
import java.util.Map;
import java.util.Objects;
import java.util.concurrent.ConcurrentHashMap;
import org.wagtailproxy.failure.Failure;
import org.wagtailproxy.failure.FailureKind;
import org.wagtailproxy.identity.JobName;
import org.wagtailproxy.identity.SessionToken;
import org.wagtailproxy.platform.KeyValueStore;
import org.wagtailproxy.platform.StoreEntry;
import org.wagtailproxy.platform.StoreRange;
import org.wagtailproxy.platform.StoreWrite;
import org.wagtailproxy.session.RateLimiter;

/**
 * Assigns a session to job names that callers chose without one. The first claim in the store is
 * the effective one.
 *
 * <p>A claim never changes, so it is cached once it is known. Methods block on the store.
 */
public final class NameClaims {

    private static final String PREFIX = "claims/";
    private static final String KEY_PREFIX = "claimed:";
    private static final int MAX_KEY_LENGTH = 90;
    private static final int MAX_CACHED_CLAIMS = 10_000;

    private final KeyValueStore mStore;
    private final SealStore mSealStore;
    private final OwnedIncarnations mOwned;
    private final RateLimiter mBudget;
    private final Map<String, SessionToken> mCachedClaims = new ConcurrentHashMap<>();

    private NameClaims(
            KeyValueStore store, SealStore sealStore, OwnedIncarnations owned, RateLimiter budget) {
        mStore = store;
        mSealStore = sealStore;
        mOwned = owned;
        mBudget = budget;
    }

    /**
     * Creates the claims.
     *
     * @param store the key-value service, not null
     * @param sealStore provides the store lease, not null
     * @param owned provides the session token of a new claim, not null
     * @param budget limits the rate of claims in the store, not null
     * @return the claims, never null
     */
    public static NameClaims of(
            KeyValueStore store, SealStore sealStore, OwnedIncarnations owned, RateLimiter budget) {
        Objects.requireNonNull(store, "store");
        return new NameClaims(store, sealStore, owned, budget);
    }

    /**
     * Claims a name for the current session, or returns the earlier claim of the name. If the write
     * fails, reads the claim from the store instead.
     *
     * @param name a name without a session, not null
     * @return the name within the session of the effective claim, or a failure
     */
    public Either<Failure, JobName> claim(JobName name) {
        String key = name.key();
        if (key.length() > MAX_KEY_LENGTH) {
            return refused(
                    FailureKind.MALFORMED_REQUEST,
                    "a name without a session has at most 90 characters");
        }
        SessionToken cached = mCachedClaims.get(key);
        if (cached != null) {
            return Either.right(qualifiedName(cached, key));
        }
        if (!mBudget.tryAcquire(System.nanoTime())) {
            return refused(FailureKind.CLAIM_BUDGET_EXCEEDED, "take a session for your names");
        }
        SessionToken token = mOwned.currentToken(System.nanoTime());
        Either<Failure, StoreWrite> write =
                mStore.compareAndPut(PREFIX + key, 0, token.toString(), mSealStore.lease());
        if (write.isLeft()) {
            return find(name);
        }
        SessionToken effectiveToken =
                write.get().current().flatMap(NameClaims::decode).getOrElse(token);
        return Either.right(cache(effectiveToken, key));
    }

    /**
     * Finds the claim of a name.
     *
     * @param name a name without a session, not null
     * @return the name within its session, or a failure
     */
    public Either<Failure, JobName> find(JobName name) {
        SessionToken cached = mCachedClaims.get(name.key());
        if (cached != null) {
            return Either.right(qualifiedName(cached, name.key()));
        }
        Either<Failure, StoreRange> read = mStore.read(PREFIX + name.key());
        return read.flatMap(
                range -> {
                    Option<SessionToken> token = range.first().flatMap(NameClaims::decode);
                    return token.map(each -> cache(each, name.key()))
                            .toEither(
                                    Failure.of(
                                            FailureKind.JOB_NOT_FOUND, "nobody claimed the name"));
                });
    }

    private JobName cache(SessionToken token, String key) {
        if (mCachedClaims.size() >= MAX_CACHED_CLAIMS) {
            mCachedClaims.clear();
        }
        mCachedClaims.put(key, token);
        return qualifiedName(token, key);
    }

    private static JobName qualifiedName(SessionToken token, String key) {
        return JobName.of(token, KEY_PREFIX + key);
    }

    private static Option<SessionToken> decode(StoreEntry entry) {
        return SessionToken.parse(entry.value());
    }

    private static Either<Failure, JobName> refused(FailureKind kind, String detail) {
        return Either.left(Failure.of(kind, detail));
    }
}
