package pearladder.eventlog;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Tests that a log written by version 0.2.0 is read with the same entries that that version exported. */
class EarlierVersionLogTest {
    private static final String FILE = "records-0000000000000001.db";
    private static final List<String> CODES = List.of(
            "started", "stopped", "ended", "leg", "work", "loading", "loaded", "copies", "ordered", "engine", "release",
            "dropped", "model");

    @TempDir
    Path directory;

    @BeforeEach
    void copyLog() throws IOException {
        Files.write(directory.resolve(FILE), resource(FILE));
    }

    private static byte[] resource(String name) throws IOException {
        try (InputStream file = EarlierVersionLogTest.class.getResourceAsStream("/written-by-0.2.0/" + name)) {
            return file.readAllBytes();
        }
    }

    private static List<String> expectedLines() throws IOException {
        List<String> lines = new String(resource("entries.tsv"), StandardCharsets.UTF_8)
                .lines()
                .toList();
        return lines.subList(1, lines.size());
    }

    private static String line(long number, LogEntry entry) {
        return String.join(
                "\t",
                Long.toString(number),
                Long.toString(entry.at()),
                entry.type().code(),
                entry.requestId(),
                entry.function(),
                entry.tenant(),
                entry.worker(),
                entry.note(),
                Long.toString(entry.amount()),
                Long.toString(entry.micros()));
    }

    @Test
    void entriesAreReadAsTheEarlierVersionExportedThem() throws IOException {
        List<String> lines = new ArrayList<>();
        new EventLogReader(directory).read(0, (number, entry) -> lines.add(line(number, entry)));
        assertEquals(124, lines.size());
        assertEquals(expectedLines(), lines);
    }

    @Test
    void verificationFindsNoDamage() throws IOException {
        EventLogReader.VerificationResult verified = new EventLogReader(directory).verify();
        assertEquals(List.of(), verified.damage());
        assertEquals(124, verified.entries());
    }

    @Test
    void entriesAreAppendedToTheLog() throws IOException {
        LogEntry added = LogEntry.of(1, LogEntryType.STARTED, "", "", "", "r1", 0, 0);
        try (EventLog log = EventLog.open(directory, RetentionSettings.DEFAULTS, warning -> {})) {
            assertEquals(125, log.nextNumber());
            log.append(List.of(added));
        }
        List<LogEntry> entries = new ArrayList<>();
        new EventLogReader(directory).read(125, (number, entry) -> entries.add(entry));
        assertEquals(List.of(added), entries);
    }

    @Test
    void typesHaveTheCodesThatEarlierVersionsExported() {
        assertEquals(
                CODES,
                Arrays.stream(LogEntryType.values()).map(LogEntryType::code).toList());
    }
}
