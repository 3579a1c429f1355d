package org.wagtailproxy.home;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.locks.ReentrantLock;
import java.util.function.BiPredicate;
import java.util.function.Function;
import org.wagtailproxy.identity.JobName;

/** Stores the jobs of the home instance by name, in shards that are locked independently. */
final class JobTable {

    private static final int SHARD_COUNT = 64;

    private final List<Shard> mShards = new ArrayList<>(SHARD_COUNT);

    JobTable() {
        for (int index = 0; index < SHARD_COUNT; index++) {
            mShards.add(new Shard());
        }
    }

    /** Applies a function to the jobs of the shard of a name, under the lock of that shard. */
    <T> T withShard(JobName name, Function<Map<JobName, JobEntry>, T> use) {
        return mShards.get(Math.floorMod(name.hashCode(), SHARD_COUNT)).withLock(use);
    }

    /** Collects the non-null results of a function over all jobs; each shard is locked in turn. */
    <T> List<T> collect(Function<Map.Entry<JobName, JobEntry>, T> read) {
        List<T> collected = new ArrayList<>();
        for (Shard shard : mShards) {
            shard.withLock(
                    jobs -> {
                        jobs.entrySet().stream()
                                .map(read)
                                .filter(value -> value != null)
                                .forEach(collected::add);
                        return null;
                    });
        }
        return collected;
    }

    void removeIf(BiPredicate<JobName, JobEntry> condition) {
        for (Shard shard : mShards) {
            shard.withLock(
                    jobs ->
                            jobs.entrySet()
                                    .removeIf(
                                            entry ->
                                                    condition.test(
                                                            entry.getKey(), entry.getValue())));
        }
    }

    /** Stores some of the jobs under one lock. */
    private static final class Shard {
        private final ReentrantLock mLock = new ReentrantLock();
        private final Map<JobName, JobEntry> mJobs = new HashMap<>();

        private <T> T withLock(Function<Map<JobName, JobEntry>, T> use) {
            mLock.lock();
            try {
                return use.apply(mJobs);
            } finally {
                mLock.unlock();
            }
        }
    }
}
