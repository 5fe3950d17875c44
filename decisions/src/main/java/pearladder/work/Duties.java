package pearladder.work;

import java.util.List;
import pearladder.api.Span;

/** The classes of a router's own background work. What each may spend is far above what it needs on a quiet day. */
public final class Duties {
    /** Writes what must outlive this process; one at a time, and still at a stop. */
    public static final String FLUSH = "flush";
    /** Asks other routers what they know. */
    public static final String LEARN = "learn";

    /** Writes records; orders wait for it. */
    public static final String RECORD = "record";
    /** Cuts what accounts' calls worked. */
    public static final String METER = "meter";
    /** Writes what a next life may start from. */
    public static final String SNAPSHOT = "snapshot";
    /** Lets old records go. */
    public static final String COMPACT = "compact";

    private static final Span STRAINED_AT = Span.millis(50);

    private Duties() {}

    /** A scheduler of a router's own work. */
    public static Scheduler scheduler(long seed, pearladder.api.Moment begun) {
        return new Scheduler(
                seed,
                List.of(
                        new Duty(FLUSH, 0, new Load(0, 50e6, 0), 2, 1, 100, 3, Span.millis(200), true),
                        new Duty(RECORD, 0, new Load(0, 50e6, 0), 2, 1, 2, 0, Span.millis(100), true),
                        new Duty(METER, 1, Load.NONE, 1, 1, 2, 0, Span.millis(500), false),
                        new Duty(SNAPSHOT, 2, new Load(0, 10e6, 0), 10, 1, 1, 0, Span.millis(500), false),
                        new Duty(COMPACT, 3, new Load(0, 2e6, 0), 100, 1, 1, 0, Span.millis(500), false),
                        new Duty(LEARN, 1, new Load(0, 2e6, 0), 10, 4, 1000, 0, Span.millis(500), false)),
                STRAINED_AT,
                begun);
    }
}
