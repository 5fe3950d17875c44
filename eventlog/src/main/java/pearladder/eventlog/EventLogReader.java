package pearladder.eventlog;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Predicate;
import java.util.stream.Stream;

/** What stands in a folder of records, read beside its writer or alone. */
public final class EventLogReader {
    /** Gets entries in the order written. */
    public interface Taker {
        void take(long number, LogEntry entry) throws IOException;
    }

    /**
     * What a look at all files found.
     *
     * @param damage a line for each file or batch that can't be believed, with what is lost
     */
    public record Verified(int files, long batches, long entries, long bytes, List<String> damage) {}

    private final Path folder;

    /** @throws IOException where there is no such folder */
    public EventLogReader(Path folder) throws IOException {
        if (!Files.isDirectory(folder)) {
            throw new IOException(
                    folder + ": no folder of records is there; it is \"records\" in a router's data folder");
        }
        this.folder = folder;
    }

    /** Whether a folder holds no records. */
    public static boolean empty(Path folder) throws IOException {
        return segments(folder).isEmpty();
    }

    static List<Path> segments(Path folder) throws IOException {
        return files(folder, "records-[0-9]{16}\\.db");
    }

    static List<Path> files(Path folder, String form) throws IOException {
        try (Stream<Path> all = Files.list(folder)) {
            return new ArrayList<>(
                    all.filter(file -> file.getFileName().toString().matches(form))
                            .sorted()
                            .toList());
        }
    }

    /** Every entry that can be read, from a number on; a damaged batch or file is passed over, {@link #verify} tells of it. */
    public void read(long from, Taker taker) throws IOException {
        List<Path> segments = segments(folder);
        for (int i = 0; i < segments.size(); i++) {
            if (i + 1 < segments.size() && LogSegment.first(segments.get(i + 1)) <= from) {
                continue;
            }
            LogSegment segment;
            try {
                segment = LogSegment.read(segments.get(i));
            } catch (UnsupportedFormatException unread) {
                throw unread;
            } catch (IOException damaged) {
                continue;
            }
            try (segment) {
                segment.batches(from, batch -> {
                    if (batch.first() + batch.count() > from && batch.damage().isEmpty()) {
                        for (LogBatch.Row row : LogBatch.decode(batch.bytes())) {
                            taker.take(batch.first() + row.place(), row.entry());
                        }
                    }
                });
            }
        }
    }

    /** Entries of a span of the wall clock that are looked for. */
    public void find(long fromMillis, long toMillis, Predicate<LogEntry> wanted, Taker taker) throws IOException {
        read(0, (number, entry) -> {
            if (entry.at() >= fromMillis && entry.at() < toMillis && wanted.test(entry)) {
                taker.take(number, entry);
            }
        });
    }

    /** Looks at every file, every batch and every number. */
    public Verified verify() throws IOException {
        List<String> damage = new ArrayList<>();
        long[] counts = new long[3];
        List<Path> segments = segments(folder);
        for (Path file : files(folder, "records-.*\\.damaged")) {
            damage.add(file.getFileName() + ": set aside at a start, its entries are lost");
        }
        long[] expected = {-1};
        for (Path file : segments) {
            counts[2] += LogSegment.bytes(file);
            if (expected[0] >= 0 && LogSegment.first(file) != expected[0]) {
                damage.add(file.getFileName() + ": begins at entry " + LogSegment.first(file) + " where " + expected[0]
                        + " would follow");
            }
            expected[0] = LogSegment.first(file);
            try (LogSegment segment = LogSegment.read(file)) {
                segment.structure(what -> damage.add(file.getFileName() + ": " + what));
                segment.batches(batch -> {
                    counts[0]++;
                    counts[1] += batch.count();
                    if (batch.first() != expected[0]) {
                        damage.add(file.getFileName() + ": entries " + expected[0] + " to " + (batch.first() - 1)
                                + " are missing");
                    }
                    expected[0] = batch.first() + batch.count();
                    if (!batch.damage().isEmpty()) {
                        damage.add(file.getFileName() + ": entries " + batch.first() + " to " + (expected[0] - 1) + ": "
                                + batch.damage());
                    }
                });
            } catch (IOException broken) {
                damage.add(file.getFileName() + ": " + broken.getMessage());
                expected[0] = -1;
            }
        }
        return new Verified(segments.size(), counts[0], counts[1], counts[2], damage);
    }
}
