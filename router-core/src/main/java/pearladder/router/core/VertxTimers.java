package pearladder.router.core;

import io.vertx.core.Vertx;
import pearladder.routing.api.MonotonicTime;
import pearladder.routing.api.TimeSpan;

/** Timers of a Vert.x event loop and the machine's monotonic clock. */
public final class VertxTimers implements Timers {
    private final Vertx vertx;
    private final EventLoopActivity activity;

    /** Creates timers that run on the event loop that sets them and are recorded in its activity. */
    public VertxTimers(Vertx vertx, EventLoopActivity activity) {
        this.vertx = vertx;
        this.activity = activity;
    }

    /** Returns the time of the machine's monotonic clock. */
    public static MonotonicTime currentTime() {
        return new MonotonicTime(System.nanoTime());
    }

    @Override
    public MonotonicTime now() {
        return currentTime();
    }

    @Override
    public Timer after(TimeSpan delay, Runnable task) {
        long timerId =
                vertx.setTimer(Timers.millis(delay), firedId -> activity.run(EventLoopActivity.Activity.TIMERS, task));
        return () -> vertx.cancelTimer(timerId);
    }
}
