package pearladder.connections;

/**
 * Shares of the process's memory limit for what a router holds of its peers' input.
 *
 * @param clientInputBytes limit of the requests of all clients together that are incomplete or not admitted yet
 * @param unfinishedResponseBytes limit of the incomplete responses of all workers together
 */
public record MemoryLimits(long clientInputBytes, long unfinishedResponseBytes) {
    private static final long BYTES_PER_MB = 1L << 20;
    private static final int CLIENT_INPUT_DIVISOR = 24;
    private static final int UNFINISHED_RESPONSES_DIVISOR = 48;

    /**
     * Divides the memory of a process.
     *
     * @param memoryMb the memory limit of the process in its configuration, in MB
     */
    public static MemoryLimits of(long memoryMb) {
        long memoryBytes = memoryMb * BYTES_PER_MB;
        return new MemoryLimits(memoryBytes / CLIENT_INPUT_DIVISOR, memoryBytes / UNFINISHED_RESPONSES_DIVISOR);
    }
}
