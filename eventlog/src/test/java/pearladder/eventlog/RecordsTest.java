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

class RecordsTest {
    private static final RetentionSettings SMALL = new RetentionSettings(20_000, 1_000_000, 1L << 30, 1L << 40, 1000);

    @TempDir
    private Path folder;

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

    private static LogEntry leg(long at, int number) {
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

    private EventLog open(RetentionSettings keeping) throws IOException {
        return EventLog.open(folder, keeping, text -> {});
    }

    private static List<LogEntry> all(Path folder) throws IOException {
        List<LogEntry> entries = new ArrayList<>();
        new EventLogReader(folder).read(0, (number, entry) -> entries.add(entry));
        return entries;
    }

    /** What stands on disk now, as a kill would leave it: the files are copied while they are open. */
    private static void copy(Path from, Path to) throws IOException {
        Files.createDirectories(to);
        for (Path file : EventLogReader.files(from, "records-.*")) {
            if (!file.toString().endsWith("-shm")) {
                Files.copy(file, to.resolve(file.getFileName()), StandardCopyOption.REPLACE_EXISTING);
            }
        }
    }

    @Test
    void whatWasAcknowledgedOutlivesAKillAtAnyMomentWithTheTailCutAnywhereBeyondIt() throws IOException {
        Random random = new Random(7);
        Path source = folder.resolve("source");
        List<LogEntry> kept = new ArrayList<>();
        try (EventLog records = EventLog.open(source, SMALL, text -> {})) {
            for (int round = 0; round < 40; round++) {
                List<LogEntry> batch = new ArrayList<>();
                for (int i = random.nextInt(8); i >= 0; i--) {
                    batch.add(
                            random.nextBoolean()
                                    ? ended(1000 + round, kept.size() + i)
                                    : leg(1000 + round, kept.size() + i));
                }
                Path before = folder.resolve("before" + round);
                Path after = folder.resolve("after" + round);
                copy(source, before);
                records.append(batch);
                copy(source, after);
                // killed while the batch was being written: any part of what this batch added may be there
                List<Path> logs = EventLogReader.files(after, "records-.*-wal");
                Path log = logs.get(logs.size() - 1);
                Path old = before.resolve(log.getFileName());
                long had = Files.exists(old) ? Files.size(old) : 0;
                long has = Files.size(log);
                boolean folded = has <= had;
                if (!folded) {
                    try (RandomAccessFile cut = new RandomAccessFile(log.toFile(), "rw")) {
                        cut.setLength(had + (long) (random.nextDouble() * (has - had)));
                    }
                }
                List<LogEntry> both = new ArrayList<>(kept);
                both.addAll(batch);
                try (EventLog again = EventLog.open(after, SMALL, text -> {})) {
                    List<LogEntry> found = all(after);
                    assertTrue(
                            found.equals(kept) || found.equals(both),
                            "round " + round + ": " + found.size() + " entries of " + kept.size() + " acknowledged");
                    assertEquals(found.size() + 1, again.nextNumber());
                    again.append(List.of(ended(5000, 1)));
                    assertEquals(found.size() + 1, all(after).size());
                }
                assertEquals(List.of(), new EventLogReader(after).verify().damage());
                kept = both;
            }
        }
        assertEquals(kept, all(source));
    }

    @Test
    void filesFollowOneAnotherAndTheOldestGo() throws IOException {
        RetentionSettings keeping = new RetentionSettings(20_000, 1000, 60_000, 100_000, 1000);
        try (EventLog records = open(keeping)) {
            for (int i = 0; i < 40; i++) {
                records.append(List.of(ended(i * 600L, i)));
            }
            int files = EventLogReader.segments(folder).size();
            assertTrue(files > 10, files + " files");
            assertEquals(40, all(folder).size());
            assertTrue(records.retain() > 0);
            List<LogEntry> left = all(folder);
            assertTrue(left.size() < 40 && !left.isEmpty());
            assertEquals(39, left.get(left.size() - 1).amount());
            assertEquals(List.of(), new EventLogReader(folder).verify().damage());
        }
    }

    @Test
    void aClockThatJumpsAheadAYearLetsNothingGo() throws IOException {
        try (EventLog records = open(new RetentionSettings(1L << 30, 1000, 1L << 30, 60_000, 1000))) {
            for (int i = 0; i < 8; i++) {
                records.append(List.of(ended(i * 1100L, i)));
            }
            records.append(List.of(ended(365L * 86_400_000, 8)));
            records.append(List.of(ended(365L * 86_400_000 + 1, 9)));
            assertEquals(0, records.retain());
            assertEquals(10, all(folder).size());
        }
    }

    @Test
    void aCompactionTakesOnlyOldDetailsAndOneThatWasKilledChangesNothing() throws IOException {
        RetentionSettings keeping = new RetentionSettings(1L << 30, 1000, 1L << 30, 1L << 40, 2000);
        try (EventLog records = open(keeping)) {
            for (int i = 0; i < 10; i++) {
                records.append(List.of(ended(i * 600L, i), leg(i * 600L, i)));
            }
            List<LogEntry> before = all(folder);
            Files.write(folder.resolve("records-0000000000000001.new"), new byte[100]);
            EventLog.Compacted done = records.compact(100);
            assertTrue(done.details() > 0);
            List<LogEntry> after = all(folder);
            assertEquals(
                    before.stream().filter(entry -> !entry.type().isDetail()).toList(),
                    after.stream().filter(entry -> !entry.type().isDetail()).toList());
            assertTrue(after.stream().anyMatch(entry -> entry.type().isDetail()), "young details stay");
            assertEquals(20 - done.details(), after.size());
            List<Long> numbers = new ArrayList<>();
            new EventLogReader(folder).read(0, (number, entry) -> {
                numbers.add(number);
                assertEquals(
                        number % 2 == 1 ? LogEntryType.ENDED : LogEntryType.LEG,
                        entry.type(),
                        "a number outlives the compaction");
            });
            assertEquals(20, numbers.get(numbers.size() - 1));
            assertEquals(0, records.compact(100).files());
        }
        Files.write(folder.resolve("records-0000000000000001.new"), new byte[100]);
        try (EventLog records = open(keeping)) {
            assertEquals(21, records.nextNumber());
        }
        assertEquals(List.of(), EventLogReader.files(folder, ".*\\.new"));
        assertEquals(List.of(), new EventLogReader(folder).verify().damage());
    }

    @Test
    void aSecondWriterIsRefused() throws IOException {
        try (EventLog records = open(SMALL)) {
            records.append(List.of(ended(1, 1)));
            assertTrue(assertThrows(IOException.class, () -> open(SMALL))
                    .getMessage()
                    .contains("held by another process"));
        }
        open(SMALL).close();
    }

    @Test
    void aNewerFormatIsRefusedAndNothingIsTouched() throws Exception {
        try (EventLog records = open(SMALL)) {
            records.append(List.of(ended(1, 1)));
        }
        Path file = EventLogReader.segments(folder).get(0);
        try (Connection other = JDBC.createConnection("jdbc:sqlite:" + file, new Properties());
                Statement newer = other.createStatement()) {
            newer.execute("update meta set value = 2");
        }
        byte[] bytes = Files.readAllBytes(file);
        assertTrue(
                assertThrows(IOException.class, () -> open(SMALL)).getMessage().contains("format 2"));
        assertTrue(
                assertThrows(IOException.class, () -> all(folder)).getMessage().contains("format 2"));
        assertEquals(bytes.length, Files.readAllBytes(file).length);
    }

    @Test
    void aDamagedBatchIsNamedAndTheOthersAreRead() throws Exception {
        try (EventLog records = open(RetentionSettings.DEFAULTS)) {
            for (int i = 0; i < 5; i++) {
                records.append(List.of(ended(i, i), ended(i, i)));
            }
        }
        try (Connection other = JDBC.createConnection(
                        "jdbc:sqlite:" + EventLogReader.segments(folder).get(0), new Properties());
                Statement flip = other.createStatement()) {
            flip.execute("update batch set bytes = zeroblob(length(bytes)) where first = 5");
            flip.execute("delete from batch where first = 7");
        }
        assertEquals(6, all(folder).size());
        List<String> damage = new EventLogReader(folder).verify().damage();
        assertEquals(2, damage.size());
        assertTrue(damage.get(0).contains("entries 5 to 6: its checksum is another one"), damage.get(0));
        assertTrue(damage.get(1).contains("entries 7 to 8 are missing"), damage.get(1));
    }

    @Test
    void aFileThatCantBeReadIsSetAsideAndTheRouterWritesOn() throws IOException {
        try (EventLog records = open(SMALL)) {
            records.append(List.of(ended(1, 1), ended(2, 2)));
        }
        Path file = EventLogReader.segments(folder).get(0);
        Files.write(file, new byte[8192]);
        List<String> told = new ArrayList<>();
        try (EventLog records = EventLog.open(folder, SMALL, told::add)) {
            records.append(List.of(ended(3, 3)));
        }
        assertEquals(1, told.size());
        assertEquals(List.of(ended(3, 3)), all(folder));
        assertTrue(new EventLogReader(folder).verify().damage().get(0).contains("set aside"));
    }
}
