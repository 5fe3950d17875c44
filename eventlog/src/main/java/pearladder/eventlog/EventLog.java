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
 * The only writer of an event log's directory. Entries are on disk when {@link #append} returns. Used by one
 * thread at a time.
 */
public final class EventLog implements AutoCloseable {
    /**
     * What a compaction did.
     *
     * @param files that were rewritten
     * @param before their size before, bytes
     * @param after their size after, bytes
     * @param details that were deleted
     */
    public record Compacted(int files, long before, long after, long details) {}

    private static final String LOCK_FILE_NAME = "lock";
    /** Files of a compaction that a crash has interrupted. */
    private static final String INCOMPLETE_PATTERN = "records-[0-9]{16}\\.(new|new-wal|new-shm|new-journal)";

    private static final String DAMAGED_SUFFIX = ".damaged";
    /** The segment that is written, and the one before it, are always kept. */
    private static final int MIN_SEGMENTS = 2;

    private final Path directory;
    private final RetentionSettings retention;
    private final FileChannel lock;
    private LogSegment newest;
    /** When the newest segment's first entry was made, milliseconds since 1970; 0 where it is empty. */
    private long newestBeganAt;

    private long next;
    private boolean complete = true;

    private EventLog(Path directory, RetentionSettings retention, FileChannel lock) {
        this.directory = directory;
        this.retention = retention;
        this.lock = lock;
    }

    /**
     * Opens the log of a directory; creates both where they are missing.
     *
     * @param warnings gets a line for each file that can't be read any more and is renamed
     * @throws IOException where another process has it open, it was written by a newer version, or the disk fails
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
            throw new IOException(directory + " is held by another process; give each router its own data folder");
        }
        return channel;
    }

    /** Opens the newest segment that is readable. */
    private void openNewest(Consumer<String> warnings) throws IOException {
        for (Path incomplete : EventLogReader.files(directory, INCOMPLETE_PATTERN)) {
            Files.deleteIfExists(incomplete);
        }
        List<Path> segments = EventLogReader.segments(directory);
        next = 1;
        while (newest == null && !segments.isEmpty()) {
            Path last = segments.remove(segments.size() - 1);
            next = Math.max(next, LogSegment.first(last));
            try {
                newest = LogSegment.write(last);
                next = Math.max(next, newest.next());
                newestBeganAt = newest.until();
            } catch (UnsupportedFormatException newerVersion) {
                throw newerVersion;
            } catch (IOException damage) {
                renameDamaged(last, damage, warnings);
            }
        }
        if (newest == null) {
            newest = LogSegment.write(LogSegment.file(directory, next));
        }
    }

    /** A log that is only written must not keep a router from starting: the damaged file is kept under another name. */
    private void renameDamaged(Path segment, IOException damage, Consumer<String> warnings) throws IOException {
        Path renamed = segment.resolveSibling(segment.getFileName() + DAMAGED_SUFFIX);
        Files.move(segment, renamed, StandardCopyOption.REPLACE_EXISTING);
        LogSegment.delete(segment);
        next++;
        complete = false;
        warnings.accept(
                segment + " can't be read (" + damage.getMessage() + "); it is set aside as " + renamed.getFileName());
    }

    /** The number that the next entry gets. */
    public long nextNumber() {
        return next;
    }

    /** Whether the newest segment was readable when the log was opened; otherwise the last entries are lost. */
    public boolean isComplete() {
        return complete;
    }

    /** Appends entries, all or none; they are on disk when this returns. */
    public void append(List<LogEntry> entries) throws IOException {
        if (entries.isEmpty()) {
            return;
        }
        long now = entries.get(0).at();
        if (newestBeganAt == 0) {
            newestBeganAt = now;
        }
        if (isFull(now)) {
            LogSegment full = newest;
            newest = LogSegment.write(LogSegment.file(directory, next));
            newestBeganAt = now;
            full.close();
        }
        newest.append(next, entries);
        next += entries.size();
    }

    private boolean isFull(long now) {
        return LogSegment.bytes(newest.file) > retention.segmentBytes()
                || now - newestBeganAt > retention.segmentMillis();
    }

    /**
     * Deletes the oldest segments while they are too old or too large; never the one that is written, nor the one
     * before it.
     *
     * <p>A segment's age is the sum of the steps from segment to segment after it, each of at most twice the age
     * at which one follows another: a clock that jumps ahead by a year must not delete them all.
     *
     * @return how many were deleted
     */
    public int retain() throws IOException {
        List<Path> segments = EventLogReader.segments(directory);
        long[] ages = ages(segments);
        long allBytes = segments.stream().mapToLong(LogSegment::bytes).sum();
        int deleted = 0;
        while (deleted < segments.size() - MIN_SEGMENTS
                && (allBytes > retention.maxBytes() || ages[deleted] > retention.maxAgeMillis())) {
            Path oldest = segments.get(deleted);
            allBytes -= LogSegment.bytes(oldest);
            LogSegment.delete(oldest);
            deleted++;
        }
        return deleted;
    }

    private long[] ages(List<Path> segments) throws IOException {
        long[] ages = new long[segments.size()];
        long maxStep = 2 * retention.segmentMillis();
        long nextUntil = newest.until();
        for (int i = segments.size() - 2; i >= 0; i--) {
            long until = until(segments.get(i), nextUntil);
            long step = Math.max(0, Math.min(nextUntil - until, maxStep));
            ages[i] = ages[i + 1] + step;
            nextUntil = until;
        }
        return ages;
    }

    private static long until(Path file, long otherwise) {
        try (LogSegment segment = LogSegment.read(file)) {
            return segment.until();
        } catch (IOException unreadable) {
            return otherwise;
        }
    }

    /**
     * Rewrites full segments without old details. Each is written to a new file that then replaces it, so that a
     * crash leaves the old one or the new one.
     *
     * @param maxFiles rewritten by this call
     */
    public Compacted compact(int maxFiles) throws IOException {
        long detailsBefore = newest.until() - retention.maxDetailAgeMillis();
        int files = 0;
        long bytesBefore = 0;
        long bytesAfter = 0;
        long details = 0;
        for (Path segment : EventLogReader.segments(directory)) {
            if (files >= maxFiles || segment.equals(newest.file)) {
                break;
            }
            long oldDetails = detailsOlderThan(segment, detailsBefore);
            if (oldDetails > 0) {
                files++;
                bytesBefore += LogSegment.bytes(segment);
                rewrite(segment, detailsBefore);
                bytesAfter += LogSegment.bytes(segment);
                details += oldDetails;
            }
        }
        return new Compacted(files, bytesBefore, bytesAfter, details);
    }

    /** Counts details of a segment that ended before a time; 0 for one that ended later. */
    private static long detailsOlderThan(Path file, long time) throws IOException {
        long[] details = {0};
        try (LogSegment segment = LogSegment.read(file)) {
            if (segment.until() < time) {
                segment.batches(batch -> details[0] += countDetails(batch));
            }
        }
        return details[0];
    }

    private static long countDetails(LogSegment.Stored batch) throws IOException {
        if (!batch.damage().isEmpty()) {
            return 0;
        }
        return LogBatch.decode(batch.bytes()).stream()
                .filter(row -> row.entry().type().isDetail())
                .count();
    }

    private static void rewrite(Path file, long detailsBefore) throws IOException {
        Path rewritten = file.resolveSibling(file.getFileName().toString().replace(".db", ".new"));
        LogSegment.delete(rewritten);
        try (LogSegment source = LogSegment.read(file);
                LogSegment target = LogSegment.write(rewritten)) {
            target.beginTransaction();
            source.batches(batch -> copy(batch, target, detailsBefore));
            target.commitTransaction();
        }
        // closing has applied the write-ahead log to the file, and synced it
        LogSegment.deleteWriteAheadLog(file);
        Files.move(rewritten, file, StandardCopyOption.ATOMIC_MOVE, StandardCopyOption.REPLACE_EXISTING);
    }

    /** Copies a batch without old details; a damaged one is copied as it is, as it may be readable one day. */
    private static void copy(LogSegment.Stored batch, LogSegment target, long detailsBefore) throws IOException {
        if (!batch.damage().isEmpty()) {
            target.put(batch, detailsBefore);
            return;
        }
        List<LogBatch.Row> rows = new ArrayList<>(LogBatch.decode(batch.bytes()));
        long until = rows.isEmpty()
                ? detailsBefore
                : rows.get(rows.size() - 1).entry().at();
        rows.removeIf(row -> row.entry().type().isDetail() && row.entry().at() < detailsBefore);
        byte[] bytes = LogBatch.encode(rows);
        target.put(new LogSegment.Stored(batch.first(), batch.count(), LogBatch.sum(bytes), bytes), until);
    }

    @Override
    public void close() {
        if (newest != null) {
            newest.close();
        }
        try {
            lock.close();
        } catch (IOException ignored) {
            // the system releases the lock with the process
            return;
        }
    }
}
