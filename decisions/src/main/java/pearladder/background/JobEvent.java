package pearladder.background;

import pearladder.routing.api.MonotonicTime;
import pearladder.routing.api.TimeSpan;

/** What happened that the background work must know of. */
public sealed interface JobEvent {
    /**
     * A piece of work is asked for.
     *
     * @param duty the name of its class
     * @param account whose it is; empty for the router's own
     * @param cost as it is expected
     * @param by when it must have begun, or null
     */
    record Asked(String id, String duty, String account, ResourceCost cost, MonotonicTime by) implements JobEvent {}

    /** A piece that was begun has ended; cost is what it really was. */
    record Ended(String id, boolean well, ResourceCost cost) implements JobEvent {}

    /** Nobody wants it any more. */
    record Cancelled(String id) implements JobEvent {}

    /** How late the router's event loop is: calls come before all of this. */
    record Strained(TimeSpan behind) implements JobEvent {}

    /** The router stops: only what is to be done at a stop is still begun. */
    record Stopping() implements JobEvent {}

    /** Some time has gone by. */
    record Due() implements JobEvent {}
}
