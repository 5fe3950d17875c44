package pearladder.eventlog;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Predicate;
import java.util.stream.Stream;

/** Reads the event log in a directory, also while it is being written. */
public final class EventLogReader {
    /** Receives entries in the order in which they were written. */
    public interface EntryConsumer {
        /** @param number number of the entry, from 1 */
        void accept(long number, LogEntry entry) throws IOException;
    }

    /**
     * The result of a verification.
     *
     * @param files number of segments checked
     * @param batches number of batches in them
     * @param entries number of entries in them
     * @param bytes their size in bytes
     * @param damage a line for each damaged file or batch, with the entries that are lost
     */
    public record VerificationResult(int files, long batches, long entries, long bytes, List<String> damage) {}

    private static final String DAMAGED_PATTERN = "records-.*\\.damaged";

    private final Path directory;

    /** @throws IOException if there is no such directory */
    public EventLogReader(Path directory) throws IOException {
        if (!Files.isDirectory(directory)) {
            throw new IOException(
                    directory + ": no such event log directory; the log is \"records\" in a router's data folder");
        }
        this.directory = directory;
    }

    /** Returns whether a directory contains no log. */
    public static boolean isEmpty(Path directory) throws IOException {
        return segments(directory).isEmpty();
    }

    /** Returns the segments' files, oldest first. */
    static List<Path> segments(Path directory) throws IOException {
        return files(directory, LogSegment.FILE_PATTERN);
    }

    /** Returns the files whose names match a pattern, sorted by name. */
    static List<Path> files(Path directory, String namePattern) throws IOException {
        try (Stream<Path> files = Files.list(directory)) {
            return new ArrayList<>(
                    files.filter(file -> file.getFileName().toString().matches(namePattern))
                            .sorted()
                            .toList());
        }
    }

    /**
     * Reads all entries from a number on. Skips damaged batches and files, which {@link #verify} reports.
     *
     * @throws IOException if a segment was written by a newer version, or the consumer fails
     */
    public void read(long from, EntryConsumer consumer) throws IOException {
        List<Path> segments = segments(directory);
        for (int i = 0; i < segments.size(); i++) {
            boolean endsBefore = i + 1 < segments.size() && LogSegment.firstNumber(segments.get(i + 1)) <= from;
            if (!endsBefore) {
                readSegment(segments.get(i), from, consumer);
            }
        }
    }

    private static void readSegment(Path file, long from, EntryConsumer consumer) throws IOException {
        LogSegment segment;
        try {
            segment = LogSegment.openForReading(file);
        } catch (UnsupportedFormatException newerVersion) {
            throw newerVersion;
        } catch (IOException damaged) {
            return;
        }
        try (segment) {
            segment.forEachBatch(from, batch -> readBatch(batch, from, consumer));
        }
    }

    private static void readBatch(LogSegment.StoredBatch batch, long from, EntryConsumer consumer) throws IOException {
        boolean endsBefore = batch.first() + batch.count() <= from;
        if (endsBefore || !batch.damage().isEmpty()) {
            return;
        }
        for (LogBatch.Row row : LogBatch.decode(batch.bytes())) {
            consumer.accept(batch.first() + row.index(), row.entry());
        }
    }

    /**
     * Reads the entries of a period that match a predicate.
     *
     * @param fromMillis start of the period by the wall clock, in milliseconds since 1970
     * @param toMillis end of the period, exclusive
     */
    public void find(long fromMillis, long toMillis, Predicate<LogEntry> wanted, EntryConsumer consumer)
            throws IOException {
        read(0, (number, entry) -> {
            if (entry.at() >= fromMillis && entry.at() < toMillis && wanted.test(entry)) {
                consumer.accept(number, entry);
            }
        });
    }

    /** Checks every file and batch, and that the entries' numbers are consecutive. */
    public VerificationResult verify() throws IOException {
        LogVerification verification = new LogVerification();
        List<Path> segments = segments(directory);
        for (Path file : files(directory, DAMAGED_PATTERN)) {
            verification.addRenamed(file);
        }
        for (Path file : segments) {
            verification.check(file);
        }
        return verification.result(segments.size());
    }
}
