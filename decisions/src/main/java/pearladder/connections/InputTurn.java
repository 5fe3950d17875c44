package pearladder.connections;

import pearladder.routing.api.MonotonicTime;
import pearladder.routing.api.TimeSpan;

/**
 * Limits how much client input an event loop handles in one turn, before timers, workers and other clients are served.
 * Deadlines are timers on the same loop: without a limit, each of them would wait until all input that clients sent at
 * once is handled.
 */
public final class InputTurn {
    /** A tenth of the 50 ms by which the platform allows a timer to be late. */
    private static final TimeSpan MAX_DURATION = TimeSpan.millis(5);
    /** Delay of the timer that ends a turn; the shortest one, so that a turn ends once the due timers have run. */
    public static final TimeSpan TURN_END_DELAY = TimeSpan.millis(1);

    /**
     * How long a request may wait to be handled; half of the time after its deadline at which the platform counts a
     * request as lost. Its deadline is not known before it is handled.
     */
    public static final TimeSpan MAX_REQUEST_WAIT = TimeSpan.millis(250);

    private MonotonicTime startedAt;

    /** Returns whether a turn has started and has not ended. */
    public boolean isActive() {
        return startedAt != null;
    }

    /** Starts a turn. */
    public void start(MonotonicTime now) {
        startedAt = now;
    }

    /** Ends the turn; another one may start. */
    public void end() {
        startedAt = null;
    }

    /** Returns whether no further input may be handled until the next turn. */
    public boolean isExhausted(MonotonicTime now) {
        return startedAt != null && now.since(startedAt).compareTo(MAX_DURATION) >= 0;
    }
}
