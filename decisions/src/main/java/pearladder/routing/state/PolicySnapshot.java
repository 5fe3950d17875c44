package pearladder.routing.state;

import java.util.List;
import pearladder.routing.api.TimeSpan;

/**
 * What a router's policy has learnt and would lose with its process, as plain state. Times are given as ages, so that
 * it means the same to another process.
 *
 * @param age how old all of it is
 * @param loadRequestAges the ages of the load requests that the load quota still counts
 * @param loadSeconds what recent loads took, a decaying sum in seconds
 * @param loadCount the decaying count of these loads
 */
public record PolicySnapshot(
        TimeSpan age,
        List<WorkerSnapshot> workers,
        List<FunctionSnapshot> functions,
        List<TimeSpan> loadRequestAges,
        double loadSeconds,
        double loadCount) {
    /**
     * A worker.
     *
     * @param uptime the age of its process, or null where no list stated it
     * @param ejectedFor it stays ejected for so much longer; zero where it isn't ejected
     */
    public record WorkerSnapshot(String worker, TimeSpan uptime, TimeSpan ejectedFor) {}

    /** A function with its decaying sums. */
    public record FunctionSnapshot(
            String function,
            int concurrency,
            double memoryMb,
            TimeSpan typicalLoadTime,
            double recentRequests,
            double warmResponses,
            double warmSeconds,
            List<InstanceSnapshot> instances) {}

    /** Instances assumed on a worker, and for how long nothing has renewed that. */
    public record InstanceSnapshot(String worker, int instances, TimeSpan sinceRenewed, boolean cached) {}

    /** Nothing at all. */
    public static final PolicySnapshot NOTHING =
            new PolicySnapshot(TimeSpan.ZERO, List.of(), List.of(), List.of(), 0, 0);
}
