package pearladder.work;

import pearladder.api.Moment;
import pearladder.api.Span;

/** What happened that the background work must know of. */
public sealed interface WorkEvent {
    /**
     * A piece of work is asked for.
     *
     * @param duty the name of its class
     * @param account whose it is; empty for the router's own
     * @param cost as it is expected
     * @param by when it must have begun, or null
     */
    record Asked(String id, String duty, String account, Load cost, Moment by) implements WorkEvent {}

    /** A piece that was begun has ended; cost is what it really was. */
    record Ended(String id, boolean well, Load cost) implements WorkEvent {}

    /** Nobody wants it any more. */
    record Cancelled(String id) implements WorkEvent {}

    /** How late the router's event loop is: calls come before all of this. */
    record Strained(Span behind) implements WorkEvent {}

    /** The router stops: only what is to be done at a stop is still begun. */
    record Stopping() implements WorkEvent {}

    /** Some time has gone by. */
    record Due() implements WorkEvent {}
}
