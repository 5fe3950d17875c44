package pearladder.emulator;

/**
 * The hardware and behaviour of a kind of worker. Spans are in nanoseconds.
 *
 * @param name as in the endpoint list
 * @param cores how many requests run at full speed together
 * @param speed of a core, 1 for a standard one
 * @param memoryMb for model instances
 * @param concurrentLoads loads that run at a time; further ones wait
 * @param queueLimit requests that may wait for a slot or a load; beyond it requests are rejected
 * @param idleTimeoutNanos an instance that is idle for so long is unloaded
 * @param scalesUpByItself whether the worker loads another instance where all slots are taken
 * @param cachesImages whether fetched images stay on its disk and spare the next fetch
 * @param stopsOnCancel whether running work stops when the caller is gone
 * @param idempotencyWindowNanos for how long a duplicate with the same idempotency key is dropped
 * @param idempotencyScope the workers that drop each other's duplicates
 * @param coldCapacityShare share of its capacity right after a start, 0 to 1
 * @param warmUpNanos how long after a start it has its full capacity
 * @param overloadMultiple a cold worker that is sent more than this multiple of its present capacity
 * @param overloadWindowNanos over this window crashes and stays down
 * @param reportIntervalNanos how often its load report is measured anew
 */
public record WorkerKind(
        String name,
        int cores,
        double speed,
        double memoryMb,
        int concurrentLoads,
        int queueLimit,
        long idleTimeoutNanos,
        boolean scalesUpByItself,
        boolean cachesImages,
        boolean stopsOnCancel,
        long idempotencyWindowNanos,
        IdempotencyScope idempotencyScope,
        double coldCapacityShare,
        long warmUpNanos,
        double overloadMultiple,
        long overloadWindowNanos,
        long reportIntervalNanos) {
    /** The workers that share their idempotency keys. Written as words in scenario files. */
    public enum IdempotencyScope {
        /** All workers of the fleet. */
        ALL,
        /** Those of the same zone. */
        HALL,
        /** Those of the same cell. */
        CELL
    }
}
