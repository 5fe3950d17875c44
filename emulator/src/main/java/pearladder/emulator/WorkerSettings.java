package pearladder.emulator;

/**
 * What is fixed of one worker.
 *
 * @param seed of its random draws
 * @param coldStart whether it has just started and is still to warm up
 */
public record WorkerSettings(String id, WorkerKind kind, long seed, boolean coldStart) {}
