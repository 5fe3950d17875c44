package pearladder.router.kserve;

import io.vertx.core.Vertx;
import pearladder.router.core.Timers;
import pearladder.routing.api.MonotonicTime;
import pearladder.routing.api.TimeSpan;

/** Timers of the event loop, and the machine's monotonic clock. */
public final class VertxTimers implements Timers {
    private final Vertx vertx;

    public VertxTimers(Vertx vertx) {
        this.vertx = vertx;
    }

    public static MonotonicTime present() {
        return new MonotonicTime(System.nanoTime());
    }

    @Override
    public MonotonicTime now() {
        return present();
    }

    @Override
    public Timer after(TimeSpan span, Runnable what) {
        long timer = vertx.setTimer(Timers.millis(span), fired -> what.run());
        return () -> vertx.cancelTimer(timer);
    }
}
