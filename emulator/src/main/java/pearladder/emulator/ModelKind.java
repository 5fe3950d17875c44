package pearladder.emulator;

import pearladder.kserve.Route;

/**
 * What the stand-ins know of a family of models.
 *
 * @param pattern a model's name, or its beginning with "*" behind it
 * @param memoryMb of one loaded copy
 * @param lanes calls that a copy runs at once
 * @param fetchNanos the fetch from a shelf that nobody else uses
 * @param startNanos from the image to a standing copy
 * @param workNanos of a call that names no work of its own, on a core of speed 1
 * @param failing share of its calls that fail, whatever engine runs them
 * @param times of the work that a call names, for a version that is slower than it should be
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
    /** Whether the name belongs to it. */
    public boolean matches(String name) {
        return Route.matches(pattern, name);
    }
}
