package pearladder.router.core;

import pearladder.routing.api.MonotonicTime;
import pearladder.routing.api.TimeSpan;

/** A router's clock and timers. Tasks run on the thread that sets them. */
public interface Timers {
    /** A scheduled task. */
    interface Timer {
        /** Cancels the task; has no effect once it has run or was cancelled. */
        void cancel();
    }

    /** Returns the current time. */
    MonotonicTime now();

    /** Runs a task once after a delay, which is rounded up to whole milliseconds and is at least one millisecond. */
    Timer after(TimeSpan delay, Runnable task);

    /** Returns a delay rounded up to whole milliseconds, at least 1. */
    static long millis(TimeSpan delay) {
        return Math.max(1, (delay.nanos() + 999_999) / 1_000_000);
    }
}
