package pearladder.emulator;

/**
 * The hardware and behaviour of a kind of worker.
 *
 * @param name name of the kind in the endpoint list
 * @param cores number of requests that run at full speed concurrently
 * @param speed speed of a core, 1 for a standard core
 * @param memoryMb memory for model instances
 * @param concurrentLoads maximum number of concurrent loads; further ones are queued
 * @param queueLimit maximum number of requests that wait for a slot or a load; further ones are rejected
 * @param idleTimeoutNanos time after which an idle instance is unloaded
 * @param autoscales whether the worker loads another instance when all slots are in use
 * @param cachesImages whether fetched images are cached on disk, so that later loads need no fetch
 * @param stopsOnCancel whether a running request stops when it is cancelled
 * @param idempotencyWindowNanos time after the first run in which duplicates with the same idempotency key are dropped
 * @param idempotencyScope the workers that share their idempotency keys
 * @param coldCapacityShare share of the full capacity right after a start, 0 to 1
 * @param warmUpNanos time from a start to the full capacity
 * @param overloadMultiple a cold worker crashes and stays down if the work that arrives within the overload window
 *     exceeds this multiple of its current capacity
 * @param overloadWindowNanos length of the overload window
 * @param reportIntervalNanos interval between measurements of the load report
 */
public record WorkerKind(
        String name,
        int cores,
        double speed,
        double memoryMb,
        int concurrentLoads,
        int queueLimit,
        long idleTimeoutNanos,
        boolean autoscales,
        boolean cachesImages,
        boolean stopsOnCancel,
        long idempotencyWindowNanos,
        IdempotencyScope idempotencyScope,
        double coldCapacityShare,
        long warmUpNanos,
        double overloadMultiple,
        long overloadWindowNanos,
        long reportIntervalNanos) {
    /** The workers that share their idempotency keys. The constant names appear in scenario files. */
    public enum IdempotencyScope {
        /** All workers of the fleet. */
        ALL,
        /** All workers of the same zone. */
        HALL,
        /** All workers of the same cell. */
        CELL
    }
}
