package pearladder.router.kserve;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.sql.Connection;
import java.sql.Statement;
import java.util.ArrayList;
import java.util.List;
import java.util.Properties;
import java.util.Set;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.sqlite.JDBC;
import pearladder.emulator.Observation;
import pearladder.eventlog.EventLogReader;
import pearladder.eventlog.LogEntry;
import pearladder.eventlog.LogEntryType;

/** The entries that a router records, and the state that it restores at its next start; over sockets. */
class EventRecorderTest {
    private static final String CONFIG = RouterHarness.CONFIG
            + """
            accounts: {tender: {share: 0.6}, filing: {share: 0.4}}
            rules: {ration: {free: 2, share: 0.1, window: 5 s}}
            copies: {kept: 1 s, orders: true}
            records: {details: 1 s}
            """;

    private static List<LogEntry> entries(RouterHarness harness) {
        List<LogEntry> entries = new ArrayList<>();
        try {
            new EventLogReader(harness.directory.resolve("r1/records")).read(0, (number, entry) -> entries.add(entry));
        } catch (IOException unreadable) {
            throw new IllegalStateException(unreadable);
        }
        return entries;
    }

    private static long count(RouterHarness harness, LogEntryType type) {
        return entries(harness).stream().filter(entry -> entry.type() == type).count();
    }

    private static RouterHarness startHarness() {
        return new RouterHarness(RouterHarness.FLEET_CONFIG.formatted(2), CONFIG);
    }

    private static void restart(RouterHarness harness) {
        harness.restartRouter(CONFIG);
        harness.awaitReady();
    }

    @Test
    void everyRequestIsRecordedWithItsOutcomeAndItsTenantsWork() {
        try (RouterHarness harness = startHarness()) {
            for (int i = 0; i < 6; i++) {
                RouterHarness.await(harness.send(
                        "pair-a",
                        5,
                        "pearladder-account",
                        i % 2 == 0 ? "tender" : "filing",
                        "pearladder-call",
                        "c" + i));
            }
            RouterHarness.awaitUntil("six request ends are recorded", () -> count(harness, LogEntryType.ENDED) == 6);
            assertEquals(1, count(harness, LogEntryType.LOADING));
            RouterHarness.stop(harness.router);
            List<LogEntry> entries = entries(harness);
            assertEquals(LogEntryType.STARTED, entries.get(0).type());
            assertEquals(LogEntryType.STOPPED, entries.get(entries.size() - 1).type());
            assertTrue(entries.stream()
                    .filter(entry -> entry.type() == LogEntryType.ENDED)
                    .allMatch(entry -> entry.note().equals("settled")
                            && entry.micros() > 0
                            && entry.function().equals("pair-a")));
            assertWorkWorkersAndMemory(entries);
        }
    }

    /** The requests may fall into several usage intervals; the one that waited for the load counts as no work. */
    private static void assertWorkWorkersAndMemory(List<LogEntry> entries) {
        assertEquals(
                Set.of("tender", "filing"),
                entries.stream()
                        .filter(entry -> entry.type() == LogEntryType.WORK && entry.amount() > 0)
                        .map(LogEntry::tenant)
                        .collect(Collectors.toSet()));
        assertEquals(
                400,
                entries.stream()
                        .filter(entry -> entry.type() == LogEntryType.MODEL)
                        .findFirst()
                        .orElseThrow()
                        .amount());
        assertEquals(
                2,
                entries.stream()
                        .filter(entry -> entry.type() == LogEntryType.ENGINE)
                        .count());
    }

    @Test
    void aRestartedRouterUsesTheSnapshotOfThePreviousProcess() {
        try (RouterHarness harness = startHarness()) {
            for (int i = 0; i < 4; i++) {
                RouterHarness.await(harness.send("pair-a", 5, "pearladder-account", "tender"));
            }
            String worker = harness.observations(Observation.ARRIVED).get(3).worker();
            Path snapshot = harness.directory.resolve("r1/snapshot.json");
            RouterHarness.awaitUntil("a snapshot contains the instance", () -> {
                try {
                    return Files.exists(snapshot)
                            && Files.readString(snapshot, StandardCharsets.ISO_8859_1)
                                    .contains("\"copies\":[{\"worker\":\"" + worker);
                } catch (IOException moved) {
                    return false;
                }
            });
            RouterHarness.stop(harness.router);
            restart(harness);
            assertTrue(Files.exists(snapshot.resolveSibling("snapshot.tried")));
            RouterHarness.await(harness.send("pair-a", 5, "pearladder-account", "tender"));
            List<Observation> arrived = harness.observations(Observation.ARRIVED);
            assertEquals(worker, arrived.get(arrived.size() - 1).worker());
            assertEquals(2, count(harness, LogEntryType.STARTED));
        }
    }

    @Test
    void aCorruptOrTruncatedSnapshotIsIgnored() throws IOException {
        for (byte[] bytes : List.of(new byte[5], "12345678{\"format\":1}".getBytes())) {
            try (RouterHarness harness = startHarness()) {
                RouterHarness.stop(harness.router);
                Files.write(harness.directory.resolve("r1/snapshot.json"), bytes);
                restart(harness);
                assertEquals(
                        "settled",
                        RouterHarness.outcome(
                                RouterHarness.await(harness.send("pair-a", 5, "pearladder-account", "tender"))));
            }
        }
    }

    @Test
    void requestsContinueWhileTheDiskFailsAndBufferedEntriesAreWrittenLater() throws Exception {
        try (RouterHarness harness = startHarness()) {
            RouterHarness.await(harness.send("pair-a", 5, "pearladder-account", "tender"));
            RouterHarness.awaitUntil(
                    "the end of the request is recorded", () -> count(harness, LogEntryType.ENDED) == 1);
            Path segment;
            try (Stream<Path> files = Files.list(harness.directory.resolve("r1/records"))) {
                segment = files.filter(file -> file.toString().endsWith(".db"))
                        .findFirst()
                        .orElseThrow();
            }
            try (Connection connection = JDBC.createConnection("jdbc:sqlite:" + segment, new Properties());
                    Statement lock = connection.createStatement()) {
                lock.execute("begin immediate");
                for (int i = 0; i < 5; i++) {
                    assertEquals(
                            "settled",
                            RouterHarness.outcome(
                                    RouterHarness.await(harness.send("pair-a", 5, "pearladder-account", "tender"))));
                }
                RouterHarness.awaitUntil(
                        "the router reports failing writes", () -> harness.metric("pearladder_records_failing") == 1);
                for (int i = 0; i < 5; i++) {
                    assertEquals(
                            "settled",
                            RouterHarness.outcome(
                                    RouterHarness.await(harness.send("pair-a", 5, "pearladder-account", "tender"))));
                }
                lock.execute("rollback");
            }
            RouterHarness.awaitUntil("all request ends are recorded", () -> count(harness, LogEntryType.ENDED) == 11);
            RouterHarness.awaitUntil(
                    "the router reports successful writes", () -> harness.metric("pearladder_records_failing") == 0);
            RouterHarness.awaitUntil(
                    "the dropped entries are reported", () -> count(harness, LogEntryType.DROPPED) == 1);
        }
    }

    @Test
    void aSecondRouterOnTheSameDataDirectoryIsRefused() {
        try (RouterHarness harness = startHarness()) {
            Throwable refused = assertThrows(
                    IllegalStateException.class, () -> harness.startRouter("r1", harness.discoveryAddress(), CONFIG));
            assertTrue(
                    refused.getCause().getMessage().contains("held by another"),
                    refused.getCause().getMessage());
        }
    }
}
