package pearladder.simulation;

/** Idle connections of one router to one worker, kept only as a count. */
final class SimulatedConnectionPool {
    private final SimulatedNetworkPath path;
    private int idle;
    /** Generation of the network path in which the idle connections were opened. */
    private int generation;

    SimulatedConnectionPool(SimulatedNetworkPath path) {
        this.path = path;
        this.generation = path.generation();
    }

    SimulatedNetworkPath path() {
        return path;
    }

    /** Takes an idle connection and returns whether there was one. */
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

    /** Returns a connection to the pool. */
    void release() {
        idle++;
    }

    void closeIdle() {
        idle = 0;
    }
}
