package pearladder.emulator;

/**
 * What kind of machine an engine is, and its habits.
 *
 * @param speed of a core, 1 for a standard one
 * @param loaders loads that run at a time
 * @param queue calls that may wait, for lanes and for loads; past it the engine refuses as full
 * @param keptNanos an idle copy is unloaded after so long
 * @param ownCopies whether the engine starts another copy by itself where all lanes are taken
 * @param images whether fetched images stay on its disk and spare the next fetch
 * @param cancelStops whether running work stops when its caller is gone
 * @param rememberedNanos for how long a repeat with the same mark is dropped
 * @param rememberedBy the engines that drop each other's repeats
 * @param startShare of its capacity right after a start
 * @param warmNanos after a start it bears all of it
 * @param fallMultiple sent more than so many times its present capacity
 * @param fallNanos over so long, a cold engine falls over and stays down
 * @param reportNanos its load report is renewed so seldom
 */
public record WorkerKind(
        String name,
        int cores,
        double speed,
        double memoryMb,
        int concurrentLoads,
        int queueLimit,
        long idleTimeoutNanos,
        boolean scalesUpByItself,
        boolean cachesImages,
        boolean stopsOnCancel,
        long idempotencyWindowNanos,
        IdempotencyScope idempotencyScope,
        double coldCapacityShare,
        long warmUpNanos,
        double overloadMultiple,
        long overloadWindowNanos,
        long reportIntervalNanos) {
    /** Engines that share their marks. */
    public enum IdempotencyScope {
        ALL,
        HALL,
        CELL
    }
}
