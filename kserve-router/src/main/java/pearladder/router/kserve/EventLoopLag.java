package pearladder.router.kserve;

import io.vertx.core.Vertx;

/**
 * How late the event loop is: a call that it reads now may have waited so long in its socket, unseen, and an answer that
 * falls due may go out so much later. Guards against a router that is late itself and starts each client's time anew.
 */
public final class EventLoopLag {
    private static final long EVERY_MILLIS = 5;
    private static final double FADE = 0.9;

    private final Vertx vertx;
    private long due;
    private double behind;

    public EventLoopLag(Vertx vertx) {
        this.vertx = vertx;
    }

    public void begin() {
        due = System.nanoTime() + EVERY_MILLIS * 1_000_000;
        vertx.setTimer(EVERY_MILLIS, fired -> {
            // timers run in whole milliseconds, so one of them is no lateness
            double late = Math.max(0, System.nanoTime() - due - 1_000_000);
            behind = Math.max(late, behind * FADE);
            begin();
        });
    }

    /** Nanoseconds: the lateness of late, or of the beat that is overdue right now. */
    public long behind() {
        return Math.round(Math.max(behind, System.nanoTime() - due - 1_000_000));
    }
}
