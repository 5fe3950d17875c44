package pearladder.emulator;

/** A clock and a scheduler of later tasks, in real or virtual time. All tasks run in one thread. */
public interface Timeline {
    /** A scheduled task. */
    interface ScheduledTask {
        /** Cancels the task; does nothing if it has already run or been cancelled. */
        void cancel();
    }

    /** Returns the time in nanoseconds since an arbitrary origin. */
    long now();

    /** Schedules a task at a time in nanoseconds; if that has passed, it runs as soon as possible after this call. */
    ScheduledTask at(long nanos, Runnable task);

    /** Schedules a task after a delay in nanoseconds; a negative delay counts as 0. */
    default ScheduledTask after(long nanos, Runnable task) {
        return at(now() + Math.max(0, nanos), task);
    }
}
