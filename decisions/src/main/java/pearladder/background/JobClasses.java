package pearladder.background;

import java.util.List;
import pearladder.routing.api.MonotonicTime;
import pearladder.routing.api.TimeSpan;

/** The classes of a router's own background jobs. Each budget is far above what the class needs under ordinary load. */
public final class JobClasses {
    /** Writes data that must outlive the process, such as the endpoint list; one at a time, also at shutdown. */
    public static final String FLUSH = "flush";
    /** Fetches the rollout targets of other routers. */
    public static final String SYNC = "learn";

    /** Writes the event log; load requests wait for it. */
    public static final String RECORD = "record";
    /** Sums up the usage of tenants. */
    public static final String METER = "meter";
    /** Writes the policy's snapshot. */
    public static final String SNAPSHOT = "snapshot";
    /** Deletes old segments of the event log. */
    public static final String COMPACT = "compact";

    /** Event-loop lag from which on only rank 0 is started. */
    private static final TimeSpan FULL_OVERLOAD_LAG = TimeSpan.millis(50);
    /** Budget for writes that requests or a restart wait for. */
    private static final ResourceCost URGENT_BYTES_PER_SECOND = new ResourceCost(0, 50e6, 0);

    private static final ResourceCost SNAPSHOT_BYTES_PER_SECOND = new ResourceCost(0, 10e6, 0);
    /** Budget for jobs that can wait. */
    private static final ResourceCost LOW_PRIORITY_BYTES_PER_SECOND = new ResourceCost(0, 2e6, 0);

    private static final TimeSpan FLUSH_BACKOFF = TimeSpan.millis(200);
    /** For classes whose jobs are not retried but submitted anew by their owners. */
    private static final TimeSpan UNUSED_BACKOFF = TimeSpan.millis(500);

    private JobClasses() {}

    /**
     * Creates a scheduler of these classes.
     *
     * @param seed seed of the random part of back-offs
     */
    public static BackgroundScheduler createScheduler(long seed, MonotonicTime startedAt) {
        List<JobClass> jobClasses = List.of(
                new JobClass(FLUSH, 0, URGENT_BYTES_PER_SECOND, 2, 1, 100, 3, FLUSH_BACKOFF, true),
                new JobClass(RECORD, 0, URGENT_BYTES_PER_SECOND, 2, 1, 2, 0, UNUSED_BACKOFF, true),
                new JobClass(METER, 1, ResourceCost.NONE, 1, 1, 2, 0, UNUSED_BACKOFF, false),
                new JobClass(SNAPSHOT, 2, SNAPSHOT_BYTES_PER_SECOND, 10, 1, 1, 0, UNUSED_BACKOFF, false),
                new JobClass(COMPACT, 3, LOW_PRIORITY_BYTES_PER_SECOND, 100, 1, 1, 0, UNUSED_BACKOFF, false),
                new JobClass(SYNC, 1, LOW_PRIORITY_BYTES_PER_SECOND, 10, 4, 1000, 0, UNUSED_BACKOFF, false));
        return new BackgroundScheduler(seed, jobClasses, FULL_OVERLOAD_LAG, startedAt);
    }
}
