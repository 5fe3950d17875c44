package pearladder.eventlog;

/**
 * Limits on the size and age of an event log.
 *
 * @param segmentBytes size above which a new segment is started
 * @param segmentMillis age above which a new segment is started
 * @param maxBytes size of all segments above which the oldest are deleted
 * @param maxAgeMillis age of a segment's last entry, relative to the log's last entry, above which it is deleted
 * @param maxDetailAgeMillis age above which a compaction deletes detail entries
 */
public record RetentionSettings(
        long segmentBytes, long segmentMillis, long maxBytes, long maxAgeMillis, long maxDetailAgeMillis) {
    private static final long DAY_MILLIS = 86_400_000L;

    /** Segments of one day or 64 MB, at most 2 GB and 100 days in total, detail entries for one week. */
    public static final RetentionSettings DEFAULTS =
            new RetentionSettings(64L << 20, DAY_MILLIS, 2L << 30, 100 * DAY_MILLIS, 7 * DAY_MILLIS);
}
