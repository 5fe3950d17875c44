package pearladder.router.core;

import pearladder.routing.api.MonotonicTime;
import pearladder.routing.api.TimeSpan;

/** Time as a router knows it: which moment it is, and what happens later. One thread calls all of it. */
public interface Timers {
    /** Something that will happen; calling it off twice, or after it happened, does nothing. */
    interface Timer {
        void cancel();
    }

    MonotonicTime now();

    /** Runs something after a span; spans are rounded up to whole milliseconds, and one is the least. */
    Timer after(TimeSpan span, Runnable what);

    /** A span as timers keep it, in milliseconds. */
    static long millis(TimeSpan span) {
        return Math.max(1, (span.nanos() + 999_999) / 1_000_000);
    }
}
