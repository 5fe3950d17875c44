package pearladder.routing.state;

import java.util.List;
import pearladder.routing.api.TimeSpan;

/**
 * What a router's module has learnt and would lose with its process, as plain state. Moments are told as ages, so that it
 * means the same to another process.
 *
 * @param age how old all of it is
 * @param orders the ages of the load orders that its ration still counts
 * @param loadSeconds what loads took of late, a fading sum, with its count
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
     * @param up the age of its process, or null where no list told it
     * @param aside it is set aside for so much longer; none where it isn't
     */
    public record WorkerSnapshot(String worker, TimeSpan uptime, TimeSpan ejectedFor) {}

    /** A function with its fading sums. */
    public record FunctionSnapshot(
            String function,
            int concurrency,
            double memoryMb,
            TimeSpan typicalLoadTime,
            double recentRequests,
            double warmResponses,
            double warmSeconds,
            List<InstanceSnapshot> instances) {}

    /** Instances believed on a worker, and for how long nothing renewed that belief. */
    public record InstanceSnapshot(String worker, int instances, TimeSpan sinceRenewed, boolean cached) {}

    /** Nothing at all. */
    public static final PolicySnapshot NOTHING =
            new PolicySnapshot(TimeSpan.ZERO, List.of(), List.of(), List.of(), 0, 0);
}
