package pearladder.emulator;

import pearladder.kserve.Route;

/**
 * What the emulator knows of a family of models.
 *
 * @param pattern a model's name, or the beginning of names followed by "*"
 * @param memoryMb of one instance
 * @param concurrency requests that an instance runs at once
 * @param fetchNanos the fetch of its image from a model store without other load
 * @param startNanos from the image to a ready instance
 * @param workNanos of a request that names no work of its own, on a core of speed 1
 * @param failureShare share of its requests that fail whatever worker runs them, 0 to 1
 * @param workMultiplier factor on a request's work, for a version that is slower than it should be
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
    /** Whether a model of this name belongs to the family. */
    public boolean matches(String name) {
        return Route.matches(pattern, name);
    }
}
