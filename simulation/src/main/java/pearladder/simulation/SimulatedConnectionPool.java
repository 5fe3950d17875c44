package pearladder.simulation;

/** One router's idle connections to one worker; only their number matters. */
final class SimulatedConnectionPool {
    private final SimulatedNetworkPath path;
    private int idle;
    /** The path's generation in which the idle connections were made. */
    private int generation;

    SimulatedConnectionPool(SimulatedNetworkPath path) {
        this.path = path;
        this.generation = path.generation();
    }

    SimulatedNetworkPath path() {
        return path;
    }

    /** Takes an idle connection; false where there is none. */
    boolean acquire() {
        if (generation != path.generation()) {
            generation = path.generation();
            idle = 0;
        }
        if (idle == 0) {
            return false;
        }
        idle--;
        return true;
    }

    /** A connection is idle from now on. */
    void release() {
        idle++;
    }

    void closeIdle() {
        idle = 0;
    }
}
