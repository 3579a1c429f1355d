package org.wagtailproxy.workload;

/**
 * Represents an amount of resources on a backend server: capacity, or the demand of tasks.
 *
 * @param cpuMillis CPU capacity in thousandths of a core
 * @param memoryMegabytes memory in megabytes
 * @param accelerators number of accelerators
 */
public record ResourceAmount(long cpuMillis, long memoryMegabytes, long accelerators) {

    /**
     * Bound of the capacity of a server and of the demand of a task, in every resource. The sums
     * over all servers and tasks of a service stay in the range of a long.
     */
    public static final long MAX_PER_SERVER = 1_000_000_000;

    /** The amount without any resources. */
    public static final ResourceAmount NONE = new ResourceAmount(0, 0, 0);

    /**
     * Creates an amount.
     *
     * @param cpuMillis CPU capacity in thousandths of a core
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
     * Checks whether this amount does not exceed another one in any resource.
     *
     * @param other the other amount, not null
     * @return true if it fits
     */
    public boolean fitsInto(ResourceAmount other) {
        return cpuMillis <= other.cpuMillis
                && memoryMegabytes <= other.memoryMegabytes
                && accelerators <= other.accelerators;
    }
}
