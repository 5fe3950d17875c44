package pearladder.eventlog;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Predicate;
import java.util.stream.Stream;

/** Reads the event log of a directory, beside its writer or alone. */
public final class EventLogReader {
    /** Gets entries in the order in which they were written. */
    public interface EntryConsumer {
        /** @param number of the entry, from 1 */
        void accept(long number, LogEntry entry) throws IOException;
    }

    /**
     * The result of a verification.
     *
     * @param files that were checked
     * @param batches in them
     * @param entries in them
     * @param bytes of them
     * @param damage a line for each file or batch that is damaged, with what is lost
     */
    public record Verified(int files, long batches, long entries, long bytes, List<String> damage) {}

    private static final String DAMAGED_PATTERN = "records-.*\\.damaged";

    private final Path directory;

    /** @throws IOException where there is no such directory */
    public EventLogReader(Path directory) throws IOException {
        if (!Files.isDirectory(directory)) {
            throw new IOException(
                    directory + ": no folder of records is there; it is \"records\" in a router's data folder");
        }
        this.directory = directory;
    }

    /** Whether a directory holds no log. */
    public static boolean isEmpty(Path directory) throws IOException {
        return segments(directory).isEmpty();
    }

    /** The segments' files, oldest first. */
    static List<Path> segments(Path directory) throws IOException {
        return files(directory, LogSegment.FILE_PATTERN);
    }

    /** The files whose names match a pattern, sorted. */
    static List<Path> files(Path directory, String namePattern) throws IOException {
        try (Stream<Path> files = Files.list(directory)) {
            return new ArrayList<>(
                    files.filter(file -> file.getFileName().toString().matches(namePattern))
                            .sorted()
                            .toList());
        }
    }

    /**
     * Reads every entry from a number on. Damaged batches and files are left out; {@link #verify} reports them.
     *
     * @throws IOException where a segment was written by a newer version, or the consumer fails
     */
    public void read(long from, EntryConsumer consumer) throws IOException {
        List<Path> segments = segments(directory);
        for (int i = 0; i < segments.size(); i++) {
            boolean endsBefore = i + 1 < segments.size() && LogSegment.first(segments.get(i + 1)) <= from;
            if (!endsBefore) {
                readSegment(segments.get(i), from, consumer);
            }
        }
    }

    private static void readSegment(Path file, long from, EntryConsumer consumer) throws IOException {
        LogSegment segment;
        try {
            segment = LogSegment.read(file);
        } catch (UnsupportedFormatException newerVersion) {
            throw newerVersion;
        } catch (IOException damaged) {
            return;
        }
        try (segment) {
            segment.batches(from, batch -> readBatch(batch, from, consumer));
        }
    }

    private static void readBatch(LogSegment.Stored batch, long from, EntryConsumer consumer) throws IOException {
        boolean endsBefore = batch.first() + batch.count() <= from;
        if (endsBefore || !batch.damage().isEmpty()) {
            return;
        }
        for (LogBatch.Row row : LogBatch.decode(batch.bytes())) {
            consumer.accept(batch.first() + row.place(), row.entry());
        }
    }

    /**
     * Reads the entries of a period that match.
     *
     * @param fromMillis wall clock, milliseconds since 1970
     * @param toMillis the first moment after the period
     */
    public void find(long fromMillis, long toMillis, Predicate<LogEntry> wanted, EntryConsumer consumer)
            throws IOException {
        read(0, (number, entry) -> {
            if (entry.at() >= fromMillis && entry.at() < toMillis && wanted.test(entry)) {
                consumer.accept(number, entry);
            }
        });
    }

    /** Checks every file, every batch and that the entries' numbers follow each other. */
    public Verified verify() throws IOException {
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
