package pearladder.connections;

import pearladder.routing.api.MonotonicTime;
import pearladder.routing.api.TimeSpan;

/**
 * Decides how much client input an event loop handles before it lets timers, workers and other clients have their
 * turn. Deadlines run as timers on the same loop: without a bound, each of them waits until everything that clients
 * sent at once is handled.
 */
public final class InputTurn {
    /** A tenth of the 50 ms by which the platform allows a timer to be late. */
    private static final TimeSpan MAX_DURATION = TimeSpan.millis(5);
    /** A turn is over so long after its begin, once the timers that are due have run: the shortest timer. */
    public static final TimeSpan PAUSE = TimeSpan.millis(1);

    private MonotonicTime startedAt;

    /** Whether a turn has begun and has not ended. */
    public boolean isActive() {
        return startedAt != null;
    }

    /** Begins a turn. */
    public void start(MonotonicTime now) {
        startedAt = now;
    }

    /** Ends the turn; another one may start. */
    public void end() {
        startedAt = null;
    }

    /** Whether no further input may be handled until the next turn. */
    public boolean isExhausted(MonotonicTime now) {
        return startedAt != null && now.since(startedAt).compareTo(MAX_DURATION) >= 0;
    }
}
