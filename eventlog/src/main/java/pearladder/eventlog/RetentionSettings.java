package pearladder.eventlog;

/**
 * How records are kept.
 *
 * @param segmentBytes a file that has grown so large is followed by a new one
 * @param segmentMillis a file that is so old is followed by a new one
 * @param allBytes the oldest files go where all are larger
 * @param allMillis the oldest files go whose newest entry is older than the newest of all by so much
 * @param detailMillis details older than that go at a compaction
 */
public record RetentionSettings(
        long segmentBytes, long segmentMillis, long allBytes, long allMillis, long detailMillis) {
    /** A file for a day or 64 MB, 2 GB and 100 days in all, details for a week. */
    public static final RetentionSettings USUAL =
            new RetentionSettings(64L << 20, 86_400_000L, 2L << 30, 100 * 86_400_000L, 7 * 86_400_000L);
}
