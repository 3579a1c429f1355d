package org.wagtailproxy.limits;

/**
 * Bounds the memory of the jobs that a process keeps for callers of all instances. Not thread-safe.
 */
public final class JobMemory {

    private final long mMaxBytes;
    private long mUsedBytes;

    private JobMemory(long maxBytes) {
        mMaxBytes = maxBytes;
    }

    /**
     * Creates the state without jobs.
     *
     * @param maxBytes the maximum memory in bytes
     * @return the state, never null
     */
    public static JobMemory of(long maxBytes) {
        return new JobMemory(maxBytes);
    }

    /**
     * Checks whether there is memory for another job.
     *
     * @param bytes the memory of the job in bytes
     * @return false if the job has to be refused
     */
    public boolean hasCapacity(long bytes) {
        return mUsedBytes + bytes <= mMaxBytes;
    }

    /**
     * Counts a job.
     *
     * @param bytes its memory in bytes
     */
    public void add(long bytes) {
        mUsedBytes += bytes;
    }

    /**
     * Returns the memory of a job that is no longer kept.
     *
     * @param bytes its memory in bytes, as it was counted
     */
    public void release(long bytes) {
        mUsedBytes -= bytes;
    }

    /**
     * Returns the memory of all jobs.
     *
     * @return the memory in bytes
     */
    public long usedBytes() {
        return mUsedBytes;
    }
}
