package pearladder.eventlog;

import java.io.IOException;
import java.nio.channels.FileChannel;
import java.nio.channels.FileLock;
import java.nio.channels.OverlappingFileLockException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.nio.file.StandardOpenOption;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;

/**
 * The only writer of an event log's directory. Entries are on disk when {@link #append} returns. Not thread-safe: must
 * be used by one thread at a time.
 */
public final class EventLog implements AutoCloseable {
    /**
     * The result of a compaction.
     *
     * @param files number of segments that were rewritten
     * @param bytesBefore their size before the compaction, in bytes
     * @param bytesAfter their size after the compaction, in bytes
     * @param deletedDetails number of detail entries that were deleted
     */
    public record CompactionResult(int files, long bytesBefore, long bytesAfter, long deletedDetails) {}

    private static final String LOCK_FILE_NAME = "lock";
    /** Files of a compaction that was interrupted by a crash. */
    private static final String INCOMPLETE_PATTERN = "records-[0-9]{16}\\.(new|new-wal|new-shm|new-journal)";

    private static final String DAMAGED_SUFFIX = ".damaged";
    /** The current segment and the one before it are never deleted. */
    private static final int MIN_SEGMENTS = 2;

    private final Path directory;
    private final RetentionSettings retention;
    private final FileChannel lock;
    private LogSegment newest;
    /**
     * The start of the newest segment's age, in milliseconds since 1970: the time of its first entry, or of its last
     * entry if it had entries when the log was opened; 0 if it is empty.
     */
    private long newestStartMillis;

    private long nextNumber;
    private boolean complete = true;

    private EventLog(Path directory, RetentionSettings retention, FileChannel lock) {
        this.directory = directory;
        this.retention = retention;
        this.lock = lock;
    }

    /**
     * Opens the log in a directory; creates both if they do not exist.
     *
     * @param warnings receives a line for each file that is renamed because it can't be read
     * @throws IOException if another process has the log open, it was written by a newer version, or the disk fails
     */
    public static EventLog open(Path directory, RetentionSettings retention, Consumer<String> warnings)
            throws IOException {
        Files.createDirectories(directory);
        EventLog log = new EventLog(directory, retention, lock(directory));
        try {
            log.openNewest(warnings);
            return log;
        } catch (IOException failure) {
            log.close();
            throw failure;
        }
    }

    private static FileChannel lock(Path directory) throws IOException {
        FileChannel channel = FileChannel.open(
                directory.resolve(LOCK_FILE_NAME), StandardOpenOption.CREATE, StandardOpenOption.WRITE);
        FileLock lock = null;
        try {
            lock = channel.tryLock();
        } catch (OverlappingFileLockException lockedByThisProcess) {
            lock = null;
        } finally {
            if (lock == null) {
                channel.close();
            }
        }
        if (lock == null) {
            throw new IOException(directory + " is locked by another process; give each router its own data folder");
        }
        return channel;
    }

    /** Opens the newest readable segment. */
    private void openNewest(Consumer<String> warnings) throws IOException {
        for (Path incomplete : EventLogReader.files(directory, INCOMPLETE_PATTERN)) {
            Files.deleteIfExists(incomplete);
        }
        List<Path> segments = EventLogReader.segments(directory);
        nextNumber = 1;
        while (newest == null && !segments.isEmpty()) {
            Path last = segments.remove(segments.size() - 1);
            nextNumber = Math.max(nextNumber, LogSegment.firstNumber(last));
            try {
                newest = LogSegment.openForWriting(last);
                nextNumber = Math.max(nextNumber, newest.nextNumber());
                newestStartMillis = newest.lastEntryMillis();
            } catch (UnsupportedFormatException newerVersion) {
                throw newerVersion;
            } catch (IOException damage) {
                renameDamaged(last, damage, warnings);
            }
        }
        if (newest == null) {
            newest = LogSegment.openForWriting(LogSegment.fileFor(directory, nextNumber));
        }
    }

    /** Renames a damaged segment: a router only writes its log, so damage must not prevent the router from starting. */
    private void renameDamaged(Path segment, IOException damage, Consumer<String> warnings) throws IOException {
        Path renamed = segment.resolveSibling(segment.getFileName() + DAMAGED_SUFFIX);
        Files.move(segment, renamed, StandardCopyOption.REPLACE_EXISTING);
        LogSegment.delete(segment);
        nextNumber++;
        complete = false;
        warnings.accept(segment + " can't be read (" + damage.getMessage() + "); renamed to " + renamed.getFileName());
    }

    /** Returns the number of the next entry. */
    public long nextNumber() {
        return nextNumber;
    }

    /** Returns whether the newest segment was readable when the log was opened; otherwise the last entries are lost. */
    public boolean isComplete() {
        return complete;
    }

    /** Appends entries atomically; they are on disk when this method returns. */
    public void append(List<LogEntry> entries) throws IOException {
        if (entries.isEmpty()) {
            return;
        }
        long now = entries.get(0).at();
        if (newestStartMillis == 0) {
            newestStartMillis = now;
        }
        if (isFull(now)) {
            LogSegment full = newest;
            newest = LogSegment.openForWriting(LogSegment.fileFor(directory, nextNumber));
            newestStartMillis = now;
            full.close();
        }
        newest.append(nextNumber, entries);
        nextNumber += entries.size();
    }

    private boolean isFull(long now) {
        return LogSegment.sizeBytes(newest.file) > retention.segmentBytes()
                || now - newestStartMillis > retention.segmentMillis();
    }

    /**
     * Deletes the oldest segments while they exceed the maximum age or the log its maximum size; never deletes the
     * current segment or the one before it.
     *
     * <p>A segment's age is the sum of the intervals between the segments after it, each limited to twice the age
     * at which a segment is rotated, so that a clock that jumps ahead by a year does not delete them all.
     *
     * @return number of segments deleted
     */
    public int deleteExpiredSegments() throws IOException {
        List<Path> segments = EventLogReader.segments(directory);
        long[] ages = ages(segments);
        long allBytes = segments.stream().mapToLong(LogSegment::sizeBytes).sum();
        int deleted = 0;
        while (deleted < segments.size() - MIN_SEGMENTS
                && (allBytes > retention.maxBytes() || ages[deleted] > retention.maxAgeMillis())) {
            Path oldest = segments.get(deleted);
            allBytes -= LogSegment.sizeBytes(oldest);
            LogSegment.delete(oldest);
            deleted++;
        }
        return deleted;
    }

    private long[] ages(List<Path> segments) throws IOException {
        long[] ages = new long[segments.size()];
        long maxIntervalMillis = 2 * retention.segmentMillis();
        long newerLastEntryMillis = newest.lastEntryMillis();
        for (int i = segments.size() - 2; i >= 0; i--) {
            long lastEntryMillis = lastEntryMillis(segments.get(i), newerLastEntryMillis);
            long intervalMillis = Math.max(0, Math.min(newerLastEntryMillis - lastEntryMillis, maxIntervalMillis));
            ages[i] = ages[i + 1] + intervalMillis;
            newerLastEntryMillis = lastEntryMillis;
        }
        return ages;
    }

    private static long lastEntryMillis(Path file, long defaultMillis) {
        try (LogSegment segment = LogSegment.openForReading(file)) {
            return segment.lastEntryMillis();
        } catch (IOException unreadable) {
            return defaultMillis;
        }
    }

    /**
     * Rewrites full segments without old detail entries. Each is written to a new file that then replaces it, so that
     * a crash leaves either the old file or the new one.
     *
     * @param maxFiles maximum number of segments rewritten by this call
     */
    public CompactionResult compact(int maxFiles) throws IOException {
        long detailCutoffMillis = newest.lastEntryMillis() - retention.maxDetailAgeMillis();
        int files = 0;
        long bytesBefore = 0;
        long bytesAfter = 0;
        long details = 0;
        for (Path segment : EventLogReader.segments(directory)) {
            if (files >= maxFiles || segment.equals(newest.file)) {
                break;
            }
            long oldDetails = detailsOlderThan(segment, detailCutoffMillis);
            if (oldDetails > 0) {
                files++;
                bytesBefore += LogSegment.sizeBytes(segment);
                rewrite(segment, detailCutoffMillis);
                bytesAfter += LogSegment.sizeBytes(segment);
                details += oldDetails;
            }
        }
        return new CompactionResult(files, bytesBefore, bytesAfter, details);
    }

    /** Counts the detail entries of a segment whose last entry is older than a time; 0 if the last entry is newer. */
    private static long detailsOlderThan(Path file, long cutoffMillis) throws IOException {
        long[] details = {0};
        try (LogSegment segment = LogSegment.openForReading(file)) {
            if (segment.lastEntryMillis() < cutoffMillis) {
                segment.forEachBatch(batch -> details[0] += countDetails(batch));
            }
        }
        return details[0];
    }

    private static long countDetails(LogSegment.StoredBatch batch) throws IOException {
        if (!batch.damage().isEmpty()) {
            return 0;
        }
        return LogBatch.decode(batch.bytes()).stream()
                .filter(row -> row.entry().type().isDetail())
                .count();
    }

    private static void rewrite(Path file, long detailCutoffMillis) throws IOException {
        Path rewritten = file.resolveSibling(file.getFileName().toString().replace(".db", ".new"));
        LogSegment.delete(rewritten);
        try (LogSegment source = LogSegment.openForReading(file);
                LogSegment target = LogSegment.openForWriting(rewritten)) {
            target.beginTransaction();
            source.forEachBatch(batch -> copy(batch, target, detailCutoffMillis));
            target.commitTransaction();
        }
        // close() has checkpointed the write-ahead log to the file and synced it
        LogSegment.deleteWriteAheadLog(file);
        Files.move(rewritten, file, StandardCopyOption.ATOMIC_MOVE, StandardCopyOption.REPLACE_EXISTING);
    }

    /** Copies a batch without old detail entries; copies a damaged batch unchanged, as it may be recoverable later. */
    private static void copy(LogSegment.StoredBatch batch, LogSegment target, long detailCutoffMillis)
            throws IOException {
        if (!batch.damage().isEmpty()) {
            target.put(batch, detailCutoffMillis);
            return;
        }
        List<LogBatch.Row> rows = new ArrayList<>(LogBatch.decode(batch.bytes()));
        long lastEntryMillis = rows.isEmpty()
                ? detailCutoffMillis
                : rows.get(rows.size() - 1).entry().at();
        rows.removeIf(row -> row.entry().type().isDetail() && row.entry().at() < detailCutoffMillis);
        byte[] bytes = LogBatch.encode(rows);
        target.put(
                new LogSegment.StoredBatch(batch.first(), batch.count(), LogBatch.checksum(bytes), bytes),
                lastEntryMillis);
    }

    @Override
    public void close() {
        if (newest != null) {
            newest.close();
        }
        try {
            lock.close();
        } catch (IOException ignored) {
            // the operating system releases the lock when the process ends
            return;
        }
    }
}
