package pearladder.work;

import java.util.List;
import pearladder.api.Span;

/** The classes of a router's own background work. What each may spend is far above what it needs on a quiet day. */
public final class Duties {
    /** Writes what must outlive this process; one at a time, and still at a stop. */
    public static final String FLUSH = "flush";
    /** Asks other routers what they know. */
    public static final String LEARN = "learn";

    private static final Span STRAINED_AT = Span.millis(50);

    private Duties() { }

    /** A scheduler of a router's own work. */
    public static Scheduler scheduler(long seed, pearladder.api.Moment begun) {
        return new Scheduler(seed, List.of(
                new Duty(FLUSH, 0, new Load(0, 50e6, 0), 2, 1, 100, 3, Span.millis(200), true),
                new Duty(LEARN, 1, new Load(0, 2e6, 0), 10, 4, 1000, 0, Span.millis(500), false)), STRAINED_AT, begun);
    }
}
