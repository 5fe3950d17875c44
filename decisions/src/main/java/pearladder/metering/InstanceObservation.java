package pearladder.metering;

/**
 * An observation of a model's instances on a worker, from an entry of an event log. Times are those of the wall clock,
 * milliseconds since 1970.
 */
public sealed interface InstanceObservation {
    /** Returns the time of the observation, milliseconds since 1970. */
    long atMillis();

    /** Returns the router that made the observation; an instance observed by two routers counts once. */
    String router();

    /**
     * A load was started.
     *
     * @param tenant tenant whose request started it; empty if the router loaded ahead of requests
     * @param loadMillis how long the load took
     */
    record LoadStarted(long atMillis, String router, String worker, String model, String tenant, long loadMillis)
            implements InstanceObservation {}

    /** A load failed: its instance does not exist. */
    record LoadFailed(long atMillis, String router, String worker, String model) implements InstanceObservation {}

    /** The worker reported how many instances it holds. */
    record InstancesReported(long atMillis, String router, String worker, String model, int instances)
            implements InstanceObservation {}

    /**
     * A tenant's requests ran on the worker, the last of them until the time of the observation.
     *
     * @param workMicros total time that they ran, microseconds
     */
    record WorkReported(long atMillis, String router, String worker, String model, String tenant, long workMicros)
            implements InstanceObservation {}

    /** The worker's process ended or was restarted: all its instances are gone. */
    record WorkerGone(long atMillis, String router, String worker) implements InstanceObservation {}

    /** The memory of each instance of the model from this time on is known. */
    record ModelMemoryKnown(long atMillis, String router, String model, long memoryMb) implements InstanceObservation {}
}
