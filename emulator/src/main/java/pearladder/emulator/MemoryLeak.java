package pearladder.emulator;

/** Memory that a worker loses for good at a steady rate until it restarts. */
final class MemoryLeak {
    private static final double NANOS_PER_SECOND = 1e9;

    private final Timeline time;
    private double mbPerSecond;
    private long startedAt;
    private double lostBeforeMb;

    MemoryLeak(Timeline time) {
        this.time = time;
    }

    /** Leaks at this rate from now on; 0 stops the leak and leaves what is lost as it is. */
    void setRate(double newMbPerSecond) {
        double lostMb = lostMb();
        mbPerSecond = newMbPerSecond;
        startedAt =
                newMbPerSecond > 0 ? time.now() - Math.round(lostMb / newMbPerSecond * NANOS_PER_SECOND) : time.now();
        lostBeforeMb = newMbPerSecond > 0 ? 0 : lostMb;
    }

    /** A restart: all memory is back. */
    void reset() {
        mbPerSecond = 0;
        lostBeforeMb = 0;
    }

    double lostMb() {
        return lostBeforeMb + mbPerSecond * (time.now() - startedAt) / NANOS_PER_SECOND;
    }
}
