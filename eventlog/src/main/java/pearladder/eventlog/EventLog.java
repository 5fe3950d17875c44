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
 * The one writer of a folder of records. What {@link #append} returned from is on disk. It is used by one thread at a time.
 */
public final class EventLog implements AutoCloseable {
    /** What a compaction did. */
    public record Compacted(int files, long before, long after, long details) {}

    private final Path folder;
    private final RetentionSettings keeping;
    private final FileChannel lock;
    private LogSegment newest;
    private long begunAt;
    private long next;
    private boolean whole = true;

    private EventLog(Path folder, RetentionSettings keeping, FileChannel lock) {
        this.folder = folder;
        this.keeping = keeping;
        this.lock = lock;
    }

    /**
     * Opens a folder, makes it where there is none.
     *
     * @param told gets a line for each file that can't be read any more and is set aside
     * @throws IOException where another process has it open, it was written by a newer build, or the disk fails
     */
    public static EventLog open(Path folder, RetentionSettings keeping, Consumer<String> told) throws IOException {
        Files.createDirectories(folder);
        FileChannel channel =
                FileChannel.open(folder.resolve("lock"), StandardOpenOption.CREATE, StandardOpenOption.WRITE);
        FileLock held = null;
        try {
            held = channel.tryLock();
        } catch (OverlappingFileLockException here) {
            // another part of this process has it
            held = null;
        } finally {
            if (held == null) {
                channel.close();
            }
        }
        if (held == null) {
            throw new IOException(folder + " is held by another process; give each router its own data folder");
        }
        EventLog records = new EventLog(folder, keeping, channel);
        try {
            records.begin(told);
            return records;
        } catch (IOException failed) {
            records.close();
            throw failed;
        }
    }

    private void begin(Consumer<String> told) throws IOException {
        for (Path left : EventLogReader.files(folder, "records-[0-9]{16}\\.(new|new-wal|new-shm|new-journal)")) {
            // a compaction that did not come to its end; the file it was made from still stands
            Files.deleteIfExists(left);
        }
        List<Path> segments = EventLogReader.segments(folder);
        next = 1;
        while (newest == null && !segments.isEmpty()) {
            Path last = segments.remove(segments.size() - 1);
            next = Math.max(next, LogSegment.first(last));
            try {
                newest = LogSegment.write(last);
                next = Math.max(next, newest.next());
                begunAt = newest.until();
            } catch (UnsupportedFormatException unread) {
                throw unread;
            } catch (IOException broken) {
                // Guards against a router that can't start because of what it only keeps: the file is kept for a look.
                Path aside = last.resolveSibling(last.getFileName() + ".damaged");
                Files.move(last, aside, StandardCopyOption.REPLACE_EXISTING);
                LogSegment.delete(last);
                next++;
                whole = false;
                told.accept(last + " can't be read (" + broken.getMessage() + "); it is set aside as "
                        + aside.getFileName());
            }
        }
        if (newest == null) {
            newest = LogSegment.write(LogSegment.file(folder, next));
        }
    }

    /** The number that the next entry gets. */
    public long next() {
        return next;
    }

    /** Whether the newest file could be read at the start: else what was written last is lost. */
    public boolean whole() {
        return whole;
    }

    /** Keeps entries, all or none; they are on disk when it returns. */
    public void append(List<LogEntry> entries) throws IOException {
        if (entries.isEmpty()) {
            return;
        }
        long now = entries.get(0).at();
        if (begunAt == 0) {
            begunAt = now;
        }
        if (LogSegment.bytes(newest.file) > keeping.segmentBytes() || now - begunAt > keeping.segmentMillis()) {
            LogSegment full = newest;
            newest = LogSegment.write(LogSegment.file(folder, next));
            begunAt = now;
            full.close();
        }
        newest.append(next, entries);
        next += entries.size();
    }

    /**
     * Lets the oldest files go that are too old or too much; never the one that is written, nor the one before it.
     *
     * A file's age is the sum of the steps from file to file after it, each of at most twice the time after which one follows
     * another: a clock that jumps ahead by a year must not let all go.
     */
    public int retain() throws IOException {
        List<Path> segments = EventLogReader.segments(folder);
        long all = segments.stream().mapToLong(LogSegment::bytes).sum();
        long[] ages = new long[segments.size()];
        long after = newest.until();
        for (int i = segments.size() - 2; i >= 0; i--) {
            long until = until(segments.get(i), after);
            ages[i] = ages[i + 1] + Math.max(0, Math.min(after - until, 2 * keeping.segmentMillis()));
            after = until;
        }
        int gone = 0;
        while (gone < segments.size() - 2 && (all > keeping.allBytes() || ages[gone] > keeping.allMillis())) {
            all -= LogSegment.bytes(segments.get(gone));
            LogSegment.delete(segments.get(gone++));
        }
        return gone;
    }

    /** A file that can't be read is judged by its neighbour. */
    private static long until(Path segment, long otherwise) {
        try (LogSegment read = LogSegment.read(segment)) {
            return read.until();
        } catch (IOException broken) {
            return otherwise;
        }
    }

    /**
     * Writes the files that are full anew without old details. Each is written beside and moved over, so that a crash
     * leaves the old one or the new one.
     *
     * @param most files at once
     */
    public Compacted compact(int most) throws IOException {
        long until = newest.until();
        int files = 0;
        long before = 0;
        long after = 0;
        long details = 0;
        for (Path segment : EventLogReader.segments(folder)) {
            if (files >= most || segment.equals(newest.file)) {
                break;
            }
            long left = detailsOlderThan(segment, until - keeping.detailMillis());
            if (left > 0) {
                files++;
                before += LogSegment.bytes(segment);
                rewrite(segment, until - keeping.detailMillis());
                after += LogSegment.bytes(segment);
                details += left;
            }
        }
        return new Compacted(files, before, after, details);
    }

    private static long detailsOlderThan(Path file, long moment) throws IOException {
        long[] details = {0};
        try (LogSegment segment = LogSegment.read(file)) {
            if (segment.until() < moment) {
                segment.batches(batch -> {
                    if (batch.damage().isEmpty()) {
                        details[0] += LogBatch.decode(batch.bytes()).stream()
                                .filter(row -> row.entry().kind().detail())
                                .count();
                    }
                });
            }
        }
        return details[0];
    }

    private static void rewrite(Path file, long moment) throws IOException {
        Path beside = file.resolveSibling(file.getFileName().toString().replace(".db", ".new"));
        LogSegment.delete(beside);
        try (LogSegment from = LogSegment.read(file);
                LogSegment to = LogSegment.write(beside)) {
            to.together(true);
            from.batches(batch -> {
                if (!batch.damage().isEmpty()) {
                    // what can't be read is kept as it is: a later look may make something of it
                    to.put(batch, moment);
                    return;
                }
                List<LogBatch.Row> kept = new ArrayList<>(LogBatch.decode(batch.bytes()));
                long until = kept.isEmpty()
                        ? moment
                        : kept.get(kept.size() - 1).entry().at();
                kept.removeIf(row -> row.entry().kind().detail() && row.entry().at() < moment);
                byte[] bytes = LogBatch.encode(kept);
                to.put(new LogSegment.Stored(batch.first(), batch.count(), LogBatch.sum(bytes), bytes), until);
            });
            to.together(false);
        }
        // closing folded the log into the file, and synced it
        Files.deleteIfExists(Path.of(file + "-wal"));
        Files.deleteIfExists(Path.of(file + "-shm"));
        Files.move(beside, file, StandardCopyOption.ATOMIC_MOVE, StandardCopyOption.REPLACE_EXISTING);
    }

    @Override
    public void close() {
        if (newest != null) {
            newest.close();
        }
        try {
            lock.close();
        } catch (IOException gone) {
            // the system lets go of it with the process
            return;
        }
    }
}
