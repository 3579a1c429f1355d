package org.wagtailproxy.workload;

/**
 * An amount of what tasks take up on a backend server.
 *
 * @param cpuMillis processor time in thousandths of a core
 * @param memoryMegabytes memory in megabytes
 * @param accelerators number of accelerators
 */
public record ResourceAmount(long cpuMillis, long memoryMegabytes, long accelerators) {

    /** No room at all. */
    public static final ResourceAmount NONE = new ResourceAmount(0, 0, 0);

    /**
     * Creates an amount.
     *
     * @param cpuMillis processor time in thousandths of a core
     * @param memoryMegabytes memory in megabytes
     * @param accelerators number of accelerators
     * @return the amount, never null
     */
    public static ResourceAmount of(long cpuMillis, long memoryMegabytes, long accelerators) {
        return new ResourceAmount(cpuMillis, memoryMegabytes, accelerators);
    }

    /**
     * Adds an amount.
     *
     * @param other the other amount, not null
     * @return the sum, never null
     */
    public ResourceAmount plus(ResourceAmount other) {
        return new ResourceAmount(
                cpuMillis + other.cpuMillis,
                memoryMegabytes + other.memoryMegabytes,
                accelerators + other.accelerators);
    }

    /**
     * Subtracts an amount.
     *
     * @param other the other amount, not null
     * @return the difference, which may be negative; never null
     */
    public ResourceAmount minus(ResourceAmount other) {
        return new ResourceAmount(
                cpuMillis - other.cpuMillis,
                memoryMegabytes - other.memoryMegabytes,
                accelerators - other.accelerators);
    }

    /**
     * Tests whether this amount lies within another one in every respect.
     *
     * @param other the other amount, not null
     * @return true if it does
     */
    public boolean fitsInto(ResourceAmount other) {
        return cpuMillis <= other.cpuMillis
                && memoryMegabytes <= other.memoryMegabytes
                && accelerators <= other.accelerators;
    }
}
