package pearladder.router.core;

import io.vertx.core.Vertx;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Measures event-loop lag. A request that is read now may have waited in its socket for the duration of the lag, and
 * a response may be written that much later than decided, so deadlines that ignored the lag would be too late on a
 * busy router. A stall is logged with the activities of the loop during it. Confined to the event loop.
 */
public final class EventLoopLag {
    private static final Logger LOG = LoggerFactory.getLogger(EventLoopLag.class);
    /** A tenth of the 50 ms by which platforms allow timers to be late. */
    private static final long TICK_MILLIS = 5;

    private static final long NANOS_PER_MILLI = 1_000_000;
    /** Timers have a resolution of one millisecond, so a tick that is late by up to this counts as on time. */
    private static final long TIMER_RESOLUTION_NANOS = NANOS_PER_MILLI;
    /** The factor by which the recent lag decays with each tick. */
    private static final double DECAY_PER_TICK = 0.9;
    /** A tick that is late by more than this is logged as a stall; twice the lateness that platforms allow timers. */
    private static final long STALL_NANOS = 100 * NANOS_PER_MILLI;

    private final Vertx vertx;
    private final EventLoopActivity activity;
    private long nextTickAtNanos;
    private double recentLagNanos;
    private double longestLagNanos;
    private long stalls;

    /** Creates a measurement that starts with {@link #start} and logs stalls with the loop's activity. */
    public EventLoopLag(Vertx vertx, EventLoopActivity activity) {
        this.vertx = vertx;
        this.activity = activity;
    }

    /** Starts the measurement; called on the event loop. */
    public void start() {
        activity.reset();
        nextTickAtNanos = System.nanoTime() + TICK_MILLIS * NANOS_PER_MILLI;
        vertx.setTimer(TICK_MILLIS, timerId -> {
            onTick(Math.max(0, System.nanoTime() - nextTickAtNanos - TIMER_RESOLUTION_NANOS));
            start();
        });
    }

    private void onTick(double lagNanos) {
        recentLagNanos = Math.max(lagNanos, recentLagNanos * DECAY_PER_TICK);
        longestLagNanos = Math.max(longestLagNanos, lagNanos);
        if (lagNanos > STALL_NANOS) {
            stalls++;
            LOG.warn(
                    "the event loop stalled for {} ms: {}", Math.round(lagNanos / NANOS_PER_MILLI), activity.summary());
        }
    }

    /** Returns the greater of the recent lag and the lateness of a tick that is overdue now, in nanoseconds. */
    public long lagNanos() {
        return Math.round(Math.max(recentLagNanos, System.nanoTime() - nextTickAtNanos - TIMER_RESOLUTION_NANOS));
    }

    /** Returns the number of stalls and the longest lag so far, for the log. */
    public String summary() {
        return stalls + " stalls, longest lag " + Math.round(longestLagNanos / NANOS_PER_MILLI) + " ms";
    }
}
