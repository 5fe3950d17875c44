package pearladder.emulator.net;

import io.vertx.core.Vertx;
import pearladder.emulator.Timeline;

/** Real time on an event loop; a planned thing happens up to a millisecond late. */
public final class VertxTimeline implements Timeline {
    private final Vertx vertx;

    public VertxTimeline(Vertx vertx) {
        this.vertx = vertx;
    }

    @Override
    public long now() {
        return System.nanoTime();
    }

    @Override
    public Planned at(long nanos, Runnable what) {
        long millis = Math.max(1, (nanos - now() + 500_000) / 1_000_000);
        long timer = vertx.setTimer(millis, fired -> what.run());
        return () -> vertx.cancelTimer(timer);
    }
}
