package pearladder.emulator;

/** A leak that takes a worker's memory at a constant rate until the worker restarts. */
final class MemoryLeak {
    private static final double NANOS_PER_SECOND = 1e9;

    private final Timeline time;
    private double mbPerSecond;
    private long startedAt;
    private double leakedBeforeMb;

    MemoryLeak(Timeline time) {
        this.time = time;
    }

    /** Sets the rate of the leak; 0 stops it without freeing the leaked memory. */
    void setRate(double newMbPerSecond) {
        double leakedMb = leakedMb();
        mbPerSecond = newMbPerSecond;
        startedAt =
                newMbPerSecond > 0 ? time.now() - Math.round(leakedMb / newMbPerSecond * NANOS_PER_SECOND) : time.now();
        leakedBeforeMb = newMbPerSecond > 0 ? 0 : leakedMb;
    }

    /** Stops the leak and frees the leaked memory, as a restart does. */
    void reset() {
        mbPerSecond = 0;
        leakedBeforeMb = 0;
    }

    double leakedMb() {
        return leakedBeforeMb + mbPerSecond * (time.now() - startedAt) / NANOS_PER_SECOND;
    }
}
