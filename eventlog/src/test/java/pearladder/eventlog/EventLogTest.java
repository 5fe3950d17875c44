package pearladder.eventlog;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.io.RandomAccessFile;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.sql.Connection;
import java.sql.Statement;
import java.util.ArrayList;
import java.util.List;
import java.util.Properties;
import java.util.Random;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.sqlite.JDBC;

/** Tests durability, rotation, retention, compaction and damage handling of the event log. */
class EventLogTest {
    private static final RetentionSettings SMALL_SEGMENTS =
            new RetentionSettings(20_000, 1_000_000, 1L << 30, 1L << 40, 1000);

    @TempDir
    private Path directory;

    private static LogEntry ended(long at, int number) {
        return new LogEntry(
                at,
                LogEntryType.ENDED,
                "r1-" + number,
                "pair-" + number % 7,
                "tender",
                "engine-" + number % 5,
                "settled",
                number,
                number * 10L);
    }

    private static LogEntry attempt(long at, int number) {
        return new LogEntry(
                at,
                LogEntryType.LEG,
                "r1-" + number,
                "pair-" + number % 7,
                "",
                "engine-" + number % 5,
                "SUCCESS",
                0,
                5);
    }

    private EventLog open(RetentionSettings retention) throws IOException {
        return EventLog.open(directory, retention, text -> {});
    }

    private static List<LogEntry> readAll(Path directory) throws IOException {
        List<LogEntry> entries = new ArrayList<>();
        new EventLogReader(directory).read(0, (number, entry) -> entries.add(entry));
        return entries;
    }

    /** Copies the files while they are open, as a kill of the process at this time would leave them on disk. */
    private static void copy(Path from, Path to) throws IOException {
        Files.createDirectories(to);
        for (Path file : EventLogReader.files(from, "records-.*")) {
            if (!file.toString().endsWith("-shm")) {
                Files.copy(file, to.resolve(file.getFileName()), StandardCopyOption.REPLACE_EXISTING);
            }
        }
    }

    @Test
    void acknowledgedEntriesSurviveAKillAtAnyMoment() throws IOException {
        Random random = new Random(7);
        Path source = directory.resolve("source");
        List<LogEntry> acknowledged = new ArrayList<>();
        try (EventLog log = EventLog.open(source, SMALL_SEGMENTS, text -> {})) {
            for (int round = 0; round < 40; round++) {
                List<LogEntry> batch = randomBatch(random, round, acknowledged.size());
                Path before = directory.resolve("before" + round);
                Path after = directory.resolve("after" + round);
                copy(source, before);
                log.append(batch);
                copy(source, after);
                truncateWriteAheadLog(before, after, random);
                List<LogEntry> withBatch = new ArrayList<>(acknowledged);
                withBatch.addAll(batch);
                assertRecovered("round " + round, after, acknowledged, withBatch);
                acknowledged = withBatch;
            }
        }
        assertEquals(acknowledged, readAll(source));
    }

    private static List<LogEntry> randomBatch(Random random, int round, int firstNumber) {
        List<LogEntry> batch = new ArrayList<>();
        for (int i = random.nextInt(8); i >= 0; i--) {
            batch.add(
                    random.nextBoolean()
                            ? ended(1000 + round, firstNumber + i)
                            : attempt(1000 + round, firstNumber + i));
        }
        return batch;
    }

    /** Truncates the write-ahead log within the last batch, as a kill during the write may do. */
    private static void truncateWriteAheadLog(Path before, Path after, Random random) throws IOException {
        List<Path> writeAheadLogs = EventLogReader.files(after, "records-.*-wal");
        Path newest = writeAheadLogs.get(writeAheadLogs.size() - 1);
        Path previous = before.resolve(newest.getFileName());
        long previousSize = Files.exists(previous) ? Files.size(previous) : 0;
        long size = Files.size(newest);
        boolean checkpointed = size <= previousSize;
        if (!checkpointed) {
            try (RandomAccessFile file = new RandomAccessFile(newest.toFile(), "rw")) {
                file.setLength(previousSize + (long) (random.nextDouble() * (size - previousSize)));
            }
        }
    }

    /** Asserts that the log has the acknowledged entries, either with or without the complete batch being written. */
    private static void assertRecovered(
            String round, Path directory, List<LogEntry> acknowledged, List<LogEntry> withBatch) throws IOException {
        try (EventLog log = EventLog.open(directory, SMALL_SEGMENTS, text -> {})) {
            List<LogEntry> found = readAll(directory);
            assertTrue(
                    found.equals(acknowledged) || found.equals(withBatch),
                    round + ": " + found.size() + " entries of " + acknowledged.size() + " acknowledged");
            assertEquals(found.size() + 1, log.nextNumber());
            log.append(List.of(ended(5000, 1)));
            assertEquals(found.size() + 1, readAll(directory).size());
        }
        assertEquals(List.of(), new EventLogReader(directory).verify().damage());
    }

    @Test
    void segmentsAreRotatedAndTheOldestDeleted() throws IOException {
        RetentionSettings retention = new RetentionSettings(20_000, 1000, 60_000, 100_000, 1000);
        try (EventLog log = open(retention)) {
            for (int i = 0; i < 40; i++) {
                log.append(List.of(ended(i * 600L, i)));
            }
            int files = EventLogReader.segments(directory).size();
            assertTrue(files > 10, files + " files");
            assertEquals(40, readAll(directory).size());
            assertTrue(log.deleteExpiredSegments() > 0);
            List<LogEntry> remaining = readAll(directory);
            assertTrue(remaining.size() < 40 && !remaining.isEmpty());
            assertEquals(39, remaining.get(remaining.size() - 1).amount());
            assertEquals(List.of(), new EventLogReader(directory).verify().damage());
        }
    }

    @Test
    void aClockJumpOfAYearDeletesNothing() throws IOException {
        try (EventLog log = open(new RetentionSettings(1L << 30, 1000, 1L << 30, 60_000, 1000))) {
            for (int i = 0; i < 8; i++) {
                log.append(List.of(ended(i * 1100L, i)));
            }
            log.append(List.of(ended(365L * 86_400_000, 8)));
            log.append(List.of(ended(365L * 86_400_000 + 1, 9)));
            assertEquals(0, log.deleteExpiredSegments());
            assertEquals(10, readAll(directory).size());
        }
    }

    @Test
    void aCompactionDeletesOnlyOldDetailsAndAnInterruptedOneChangesNothing() throws IOException {
        RetentionSettings retention = new RetentionSettings(1L << 30, 1000, 1L << 30, 1L << 40, 2000);
        try (EventLog log = open(retention)) {
            for (int i = 0; i < 10; i++) {
                log.append(List.of(ended(i * 600L, i), attempt(i * 600L, i)));
            }
            List<LogEntry> before = readAll(directory);
            Files.write(directory.resolve("records-0000000000000001.new"), new byte[100]);
            EventLog.CompactionResult compacted = log.compact(100);
            assertTrue(compacted.deletedDetails() > 0);
            List<LogEntry> after = readAll(directory);
            assertEquals(
                    before.stream().filter(entry -> !entry.type().isDetail()).toList(),
                    after.stream().filter(entry -> !entry.type().isDetail()).toList());
            assertTrue(after.stream().anyMatch(entry -> entry.type().isDetail()), "recent detail entries are kept");
            assertEquals(20 - compacted.deletedDetails(), after.size());
            List<Long> numbers = new ArrayList<>();
            new EventLogReader(directory).read(0, (number, entry) -> {
                numbers.add(number);
                assertEquals(
                        number % 2 == 1 ? LogEntryType.ENDED : LogEntryType.LEG,
                        entry.type(),
                        "numbers are not changed by the compaction");
            });
            assertEquals(20, numbers.get(numbers.size() - 1));
            assertEquals(0, log.compact(100).files());
        }
        Files.write(directory.resolve("records-0000000000000001.new"), new byte[100]);
        try (EventLog log = open(retention)) {
            assertEquals(21, log.nextNumber());
        }
        assertEquals(List.of(), EventLogReader.files(directory, ".*\\.new"));
        assertEquals(List.of(), new EventLogReader(directory).verify().damage());
    }

    @Test
    void aSecondWriterIsRejected() throws IOException {
        try (EventLog log = open(SMALL_SEGMENTS)) {
            log.append(List.of(ended(1, 1)));
            assertTrue(assertThrows(IOException.class, () -> open(SMALL_SEGMENTS))
                    .getMessage()
                    .contains("locked by another process"));
        }
        open(SMALL_SEGMENTS).close();
    }

    @Test
    void aNewerFormatIsRejectedAndTheFileIsUnchanged() throws Exception {
        try (EventLog log = open(SMALL_SEGMENTS)) {
            log.append(List.of(ended(1, 1)));
        }
        Path file = EventLogReader.segments(directory).get(0);
        try (Connection connection = JDBC.createConnection("jdbc:sqlite:" + file, new Properties());
                Statement upgrade = connection.createStatement()) {
            upgrade.execute("update meta set value = 2");
        }
        byte[] bytes = Files.readAllBytes(file);
        assertTrue(assertThrows(IOException.class, () -> open(SMALL_SEGMENTS))
                .getMessage()
                .contains("format 2"));
        assertTrue(assertThrows(IOException.class, () -> readAll(directory))
                .getMessage()
                .contains("format 2"));
        assertEquals(bytes.length, Files.readAllBytes(file).length);
    }

    @Test
    void aDamagedBatchIsReportedAndTheOthersAreRead() throws Exception {
        try (EventLog log = open(RetentionSettings.DEFAULTS)) {
            for (int i = 0; i < 5; i++) {
                log.append(List.of(ended(i, i), ended(i, i)));
            }
        }
        try (Connection connection = JDBC.createConnection(
                        "jdbc:sqlite:" + EventLogReader.segments(directory).get(0), new Properties());
                Statement statement = connection.createStatement()) {
            statement.execute("update batch set bytes = zeroblob(length(bytes)) where first = 5");
            statement.execute("delete from batch where first = 7");
        }
        assertEquals(6, readAll(directory).size());
        List<String> damage = new EventLogReader(directory).verify().damage();
        assertEquals(2, damage.size());
        assertTrue(damage.get(0).contains("entries 5 to 6: checksum mismatch"), damage.get(0));
        assertTrue(damage.get(1).contains("entries 7 to 8 are missing"), damage.get(1));
    }

    @Test
    void anUnreadableSegmentIsRenamedAndTheLogStaysWritable() throws IOException {
        try (EventLog log = open(SMALL_SEGMENTS)) {
            log.append(List.of(ended(1, 1), ended(2, 2)));
        }
        Path file = EventLogReader.segments(directory).get(0);
        Files.write(file, new byte[8192]);
        List<String> warnings = new ArrayList<>();
        try (EventLog log = EventLog.open(directory, SMALL_SEGMENTS, warnings::add)) {
            log.append(List.of(ended(3, 3)));
        }
        assertEquals(1, warnings.size());
        assertEquals(List.of(ended(3, 3)), readAll(directory));
        assertTrue(new EventLogReader(directory).verify().damage().get(0).contains("renamed at a start"));
    }
}
