package pearladder.eventlog;

/**
 * How long an event log is kept.
 *
 * @param segmentBytes a segment that is so large is followed by a new one
 * @param segmentMillis a segment that is so old is followed by a new one
 * @param maxBytes the oldest segments are deleted while all are larger
 * @param maxAgeMillis segments are deleted whose newest entry is so much older than the newest of all
 * @param maxDetailAgeMillis a compaction deletes details that are older
 */
public record RetentionSettings(
        long segmentBytes, long segmentMillis, long maxBytes, long maxAgeMillis, long maxDetailAgeMillis) {
    private static final long DAY_MILLIS = 86_400_000L;

    /** Segments of a day or 64 MB, 2 GB and 100 days in all, details for a week. */
    public static final RetentionSettings DEFAULTS =
            new RetentionSettings(64L << 20, DAY_MILLIS, 2L << 30, 100 * DAY_MILLIS, 7 * DAY_MILLIS);
}
