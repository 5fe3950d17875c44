package pearladder.emulator;

/**
 * The fixed settings of a worker.
 *
 * @param seed seed of its random draws
 * @param coldStart whether the worker starts cold and has to warm up
 */
public record WorkerSettings(String id, WorkerKind kind, long seed, boolean coldStart) {}
