package pearladder.routing.state;

import java.util.List;
import pearladder.routing.api.TimeSpan;

/**
 * The state that a router's policy has learnt and would lose at the end of its process. Points in time are stored as
 * ages, so that they are valid in another process.
 *
 * @param age the age of the snapshot
 * @param loadRequestAges the ages of the load requests that still count against the load quota
 * @param loadSeconds the decaying sum of the times of recent loads, in seconds
 * @param loadCount the decaying count of recent loads
 */
public record PolicySnapshot(
        TimeSpan age,
        List<WorkerSnapshot> workers,
        List<FunctionSnapshot> functions,
        List<TimeSpan> loadRequestAges,
        double loadSeconds,
        double loadCount) {
    /**
     * The snapshot of a worker.
     *
     * @param uptime the age of its process, or null if no endpoint list stated it
     * @param ejectedFor the remaining time of its ejection; zero if it isn't ejected
     */
    public record WorkerSnapshot(String worker, TimeSpan uptime, TimeSpan ejectedFor) {}

    /** The snapshot of a function, with its decaying sums. */
    public record FunctionSnapshot(
            String function,
            int concurrency,
            double memoryMb,
            TimeSpan typicalLoadTime,
            double recentRequests,
            double warmResponses,
            double warmSeconds,
            List<InstanceSnapshot> instances) {}

    /** The instances assumed on a worker, and the time since they were last renewed. */
    public record InstanceSnapshot(String worker, int instances, TimeSpan sinceRenewed, boolean cached) {}

    /** A snapshot without content. */
    public static final PolicySnapshot EMPTY = new PolicySnapshot(TimeSpan.ZERO, List.of(), List.of(), List.of(), 0, 0);
}
