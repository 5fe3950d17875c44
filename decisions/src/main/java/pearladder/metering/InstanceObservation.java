package pearladder.metering;

/**
 * What an entry of an event log tells about a model's instances on a worker. Times are those of the wall clock,
 * milliseconds since 1970.
 */
public sealed interface InstanceObservation {
    /** When it happened, milliseconds since 1970. */
    long atMillis();

    /** The router that observed it; an instance observed by two routers counts once. */
    String router();

    /**
     * A load was started.
     *
     * @param tenant whose request started it; empty where the router loaded ahead of requests
     * @param loadMillis how long the load took
     */
    record LoadStarted(long atMillis, String router, String worker, String model, String tenant, long loadMillis)
            implements InstanceObservation {}

    /** A load failed: its instance is not there. */
    record LoadFailed(long atMillis, String router, String worker, String model) implements InstanceObservation {}

    /** The worker reported how many instances it holds. */
    record InstancesReported(long atMillis, String router, String worker, String model, int instances)
            implements InstanceObservation {}

    /**
     * A tenant's requests ran there, the last of them until now.
     *
     * @param workMicros how long they ran in all, microseconds
     */
    record WorkReported(long atMillis, String router, String worker, String model, String tenant, long workMicros)
            implements InstanceObservation {}

    /** The worker's process ended or was restarted: all its instances are gone. */
    record WorkerGone(long atMillis, String router, String worker) implements InstanceObservation {}

    /** From now on each instance of the model holds so many megabytes. */
    record ModelMemoryKnown(long atMillis, String router, String model, long memoryMb) implements InstanceObservation {}
}
