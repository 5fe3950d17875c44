package pearladder.emulator;

import pearladder.kserve.Route;

/**
 * The resource needs and behaviour of a family of models.
 *
 * @param pattern a model's name, or a prefix of names followed by "*"
 * @param memoryMb memory of one instance
 * @param concurrency number of requests that an instance runs concurrently
 * @param fetchNanos time to fetch the image from a model store without other load
 * @param startNanos time from the fetched image to a ready instance
 * @param workNanos work of a request that does not specify its own, on a core of speed 1
 * @param failureShare share of requests that fail on any worker, 0 to 1
 * @param workMultiplier factor on the work of each request, above 1 for a version with a performance regression
 */
public record ModelKind(
        String pattern,
        double memoryMb,
        int concurrency,
        long fetchNanos,
        long startNanos,
        long workNanos,
        double failureShare,
        double workMultiplier) {
    /** Returns whether the model with this name belongs to the family. */
    public boolean matches(String name) {
        return Route.matches(pattern, name);
    }
}
