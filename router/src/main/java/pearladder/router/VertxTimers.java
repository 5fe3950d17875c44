package pearladder.router;

import io.vertx.core.Vertx;
import pearladder.api.Moment;
import pearladder.api.Span;
import pearladder.router.core.Timers;

/** Timers of the event loop, and the machine's monotonic clock. */
public final class VertxTimers implements Timers {
    private final Vertx vertx;

    public VertxTimers(Vertx vertx) {
        this.vertx = vertx;
    }

    public static Moment present() {
        return new Moment(System.nanoTime());
    }

    @Override
    public Moment now() {
        return present();
    }

    @Override
    public Timer after(Span span, Runnable what) {
        long timer = vertx.setTimer(Timers.millis(span), fired -> what.run());
        return () -> vertx.cancelTimer(timer);
    }
}
