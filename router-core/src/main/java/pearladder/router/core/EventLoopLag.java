package pearladder.router.core;

import io.vertx.core.Vertx;

/**
 * Measures how late the event loop runs. A request that is read now may have waited that long in its socket,
 * unseen, and a response may leave that much later than decided; deadlines that ignored this would be too generous
 * on a busy router. Confined to the event loop.
 */
public final class EventLoopLag {
    private static final long TICK_MILLIS = 5;
    private static final long NANOS_PER_MILLI = 1_000_000;
    /** Timers run in whole milliseconds, so a tick that is up to this late is on time. */
    private static final long TIMER_RESOLUTION_NANOS = NANOS_PER_MILLI;
    /** What remains of an earlier lateness after each tick. */
    private static final double DECAY_PER_TICK = 0.9;

    private final Vertx vertx;
    private long nextTickAtNanos;
    private double recentLagNanos;

    /** Creates a measurement that starts with {@link #start}. */
    public EventLoopLag(Vertx vertx) {
        this.vertx = vertx;
    }

    /** Starts measuring; called on the event loop. */
    public void start() {
        nextTickAtNanos = System.nanoTime() + TICK_MILLIS * NANOS_PER_MILLI;
        vertx.setTimer(TICK_MILLIS, timerId -> {
            double lag = Math.max(0, System.nanoTime() - nextTickAtNanos - TIMER_RESOLUTION_NANOS);
            recentLagNanos = Math.max(lag, recentLagNanos * DECAY_PER_TICK);
            start();
        });
    }

    /** Nanoseconds: the greater of the recent lag and the lateness of the tick that is overdue now. */
    public long lagNanos() {
        return Math.round(Math.max(recentLagNanos, System.nanoTime() - nextTickAtNanos - TIMER_RESOLUTION_NANOS));
    }
}
