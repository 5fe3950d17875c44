package pearladder.background;

import java.util.List;
import pearladder.routing.api.TimeSpan;

/** The classes of a router's own background work. What each may spend is far above what it needs on a quiet day. */
public final class JobClasses {
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

    private static final TimeSpan STRAINED_AT = TimeSpan.millis(50);

    private JobClasses() {}

    /** A scheduler of a router's own work. */
    public static BackgroundScheduler scheduler(long seed, pearladder.routing.api.MonotonicTime begun) {
        return new BackgroundScheduler(
                seed,
                List.of(
                        new JobClass(FLUSH, 0, new ResourceCost(0, 50e6, 0), 2, 1, 100, 3, TimeSpan.millis(200), true),
                        new JobClass(RECORD, 0, new ResourceCost(0, 50e6, 0), 2, 1, 2, 0, TimeSpan.millis(100), true),
                        new JobClass(METER, 1, ResourceCost.NONE, 1, 1, 2, 0, TimeSpan.millis(500), false),
                        new JobClass(
                                SNAPSHOT, 2, new ResourceCost(0, 10e6, 0), 10, 1, 1, 0, TimeSpan.millis(500), false),
                        new JobClass(
                                COMPACT, 3, new ResourceCost(0, 2e6, 0), 100, 1, 1, 0, TimeSpan.millis(500), false),
                        new JobClass(
                                LEARN, 1, new ResourceCost(0, 2e6, 0), 10, 4, 1000, 0, TimeSpan.millis(500), false)),
                STRAINED_AT,
                begun);
    }
}
