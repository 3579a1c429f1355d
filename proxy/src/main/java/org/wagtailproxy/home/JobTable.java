package org.wagtailproxy.home;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.locks.ReentrantLock;
import java.util.function.BiPredicate;
import java.util.function.Function;
import org.wagtailproxy.identity.JobName;

/** Keeps the jobs of the incarnations held here, in shards that each have a lock. */
final class JobTable {

    private static final int SHARDS = 64;

    private final List<Shard> mShards = new ArrayList<>(SHARDS);

    JobTable() {
        for (int index = 0; index < SHARDS; index++) {
            mShards.add(new Shard());
        }
    }

    /** Uses the jobs of the shard that a name belongs to, under the lock of the shard. */
    <T> T withShard(JobName name, Function<Map<JobName, JobEntry>, T> use) {
        return mShards.get(Math.floorMod(name.hashCode(), SHARDS)).withLock(use);
    }

    /** Collects a value from every job that has one; each shard is locked in turn. */
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

    /** Some of the jobs under one lock. */
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
