package pearladder.emulator.net;

import io.vertx.core.Vertx;
import pearladder.emulator.Timeline;

/** Real time on an event loop; tasks run up to about 1 ms late, as timers have a resolution of 1 ms. */
public final class VertxTimeline implements Timeline {
    private static final long NANOS_PER_MILLI = 1_000_000;
    private static final long SHORTEST_TIMER_MILLIS = 1;

    private final Vertx vertx;

    /** Creates a timeline whose tasks run on the caller's event loop. */
    public VertxTimeline(Vertx vertx) {
        this.vertx = vertx;
    }

    @Override
    public long now() {
        return System.nanoTime();
    }

    @Override
    public ScheduledTask at(long nanos, Runnable task) {
        long roundedMillis = (nanos - now() + NANOS_PER_MILLI / 2) / NANOS_PER_MILLI;
        long timer = vertx.setTimer(Math.max(SHORTEST_TIMER_MILLIS, roundedMillis), fired -> task.run());
        return () -> vertx.cancelTimer(timer);
    }
}
