package pearladder.emulator;

/** A clock and a scheduler of later tasks, in real or virtual time. All tasks run in one thread. */
public interface Timeline {
    /** A scheduled task. */
    interface ScheduledTask {
        /** Cancels the task; does nothing where it has run or has been cancelled before. */
        void cancel();
    }

    /** The time in nanoseconds since an arbitrary origin. */
    long now();

    /** Runs a task at a time in nanoseconds; where that has passed, as soon as possible, but not within this call. */
    ScheduledTask at(long nanos, Runnable task);

    /** Runs a task after a delay in nanoseconds; a negative delay counts as none. */
    default ScheduledTask after(long nanos, Runnable task) {
        return at(now() + Math.max(0, nanos), task);
    }
}
