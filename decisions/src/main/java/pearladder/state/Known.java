package pearladder.state;

import java.util.List;
import pearladder.api.Span;

/**
 * What a router's module has learnt and would lose with its process, as plain state. Moments are told as ages, so that it
 * means the same to another process.
 *
 * @param age how old all of it is
 * @param orders the ages of the load orders that its ration still counts
 * @param loadSeconds what loads took of late, a fading sum, with its count
 */
public record Known(
        Span age,
        List<OfWorker> workers,
        List<OfFunction> functions,
        List<Span> orders,
        double loadSeconds,
        double loadCount) {
    /**
     * A worker.
     *
     * @param up the age of its process, or null where no list told it
     * @param aside it is set aside for so much longer; none where it isn't
     */
    public record OfWorker(String worker, Span up, Span aside) {}

    /** A function with its fading sums. */
    public record OfFunction(
            String function,
            int lanes,
            double memoryMb,
            Span usualLoad,
            double calls,
            double warmAnswers,
            double warmSeconds,
            List<Copy> copies) {}

    /** Instances believed on a worker, and for how long nothing renewed that belief. */
    public record Copy(String worker, int instances, Span untouched, boolean listed) {}

    /** Nothing at all. */
    public static final Known NOTHING = new Known(Span.NONE, List.of(), List.of(), List.of(), 0, 0);
}
