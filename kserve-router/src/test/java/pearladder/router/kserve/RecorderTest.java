package pearladder.router.kserve;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Properties;
import java.util.Set;
import java.util.stream.Collectors;
import org.junit.jupiter.api.Test;
import org.sqlite.JDBC;
import pearladder.emulator.Observation;
import pearladder.eventlog.EventLogReader;
import pearladder.eventlog.LogEntry;
import pearladder.eventlog.LogEntryType;

/** What a router keeps of what it did, over sockets. */
class RecorderTest {
    private static final String RULES = Stand.RULES
            + """
            accounts: {tender: {share: 0.6}, filing: {share: 0.4}}
            rules: {ration: {free: 2, share: 0.1, window: 5 s}}
            copies: {kept: 1 s, orders: true}
            records: {details: 1 s}
            """;

    private static List<LogEntry> entries(Stand stand) {
        List<LogEntry> entries = new ArrayList<>();
        try {
            new EventLogReader(stand.folder.resolve("r1/records")).read(0, (number, entry) -> entries.add(entry));
        } catch (IOException unread) {
            throw new IllegalStateException(unread);
        }
        return entries;
    }

    private static long count(Stand stand, LogEntryType kind) {
        return entries(stand).stream().filter(entry -> entry.type() == kind).count();
    }

    private static Stand stand() {
        return new Stand(Stand.FLEET.formatted(2), RULES);
    }

    private static void stop(Stand stand) {
        Stand.await(stand.router.stop().toCompletionStage().toCompletableFuture());
    }

    private static void startAgain(Stand stand) {
        stand.router = stand.startRouter("r1", "127.0.0.1:" + stand.fleet.discoveryPort(), RULES);
        Stand.until("it is ready", () -> stand.get("/v2/health/ready").statusCode() == 200);
    }

    @Test
    void everyCallIsThereWithItsEndAndItsAccountsWork() {
        try (Stand stand = stand()) {
            for (int i = 0; i < 6; i++) {
                Stand.await(stand.send(
                        "pair-a",
                        5,
                        "pearladder-account",
                        i % 2 == 0 ? "tender" : "filing",
                        "pearladder-call",
                        "c" + i));
            }
            Stand.until("six ends are kept", () -> count(stand, LogEntryType.ENDED) == 6);
            assertEquals(1, count(stand, LogEntryType.LOADING));
            stop(stand);
            List<LogEntry> all = entries(stand);
            assertEquals(LogEntryType.STARTED, all.get(0).type());
            assertEquals(LogEntryType.STOPPED, all.get(all.size() - 1).type());
            assertTrue(all.stream()
                    .filter(entry -> entry.type() == LogEntryType.ENDED)
                    .allMatch(entry -> entry.note().equals("settled")
                            && entry.micros() > 0
                            && entry.function().equals("pair-a")));
            // the calls may fall into several cuts; one of them waited for the load and weighs nothing
            assertEquals(
                    Set.of("tender", "filing"),
                    all.stream()
                            .filter(entry -> entry.type() == LogEntryType.WORK && entry.amount() > 0)
                            .map(LogEntry::tenant)
                            .collect(Collectors.toSet()));
            assertEquals(
                    400,
                    all.stream()
                            .filter(entry -> entry.type() == LogEntryType.MODEL)
                            .findFirst()
                            .orElseThrow()
                            .amount());
            assertEquals(
                    2,
                    all.stream()
                            .filter(entry -> entry.type() == LogEntryType.ENGINE)
                            .count());
        }
    }

    @Test
    void aNewLifeStartsFromWhatTheLastOneKnew() {
        try (Stand stand = stand()) {
            for (int i = 0; i < 4; i++) {
                Stand.await(stand.send("pair-a", 5, "pearladder-account", "tender"));
            }
            String engine = stand.seen(Observation.ARRIVED).get(3).worker();
            Path snapshot = stand.folder.resolve("r1/snapshot.json");
            Stand.until("a snapshot tells of the copy", () -> {
                try {
                    return Files.exists(snapshot)
                            && Files.readString(snapshot, java.nio.charset.StandardCharsets.ISO_8859_1)
                                    .contains("\"copies\":[{\"worker\":\"" + engine);
                } catch (IOException moved) {
                    return false;
                }
            });
            stop(stand);
            startAgain(stand);
            assertTrue(Files.exists(snapshot.resolveSibling("snapshot.tried")));
            Stand.await(stand.send("pair-a", 5, "pearladder-account", "tender"));
            List<Observation> arrived = stand.seen(Observation.ARRIVED);
            assertEquals(engine, arrived.get(arrived.size() - 1).worker());
            assertEquals(2, count(stand, LogEntryType.STARTED));
        }
    }

    @Test
    void aPoisonedOrTornSnapshotStartsWithout() throws IOException {
        for (byte[] bytes : List.of(new byte[5], "12345678{\"format\":1}".getBytes())) {
            try (Stand stand = stand()) {
                stop(stand);
                Files.write(stand.folder.resolve("r1/snapshot.json"), bytes);
                startAgain(stand);
                assertEquals(
                        "settled", Stand.state(Stand.await(stand.send("pair-a", 5, "pearladder-account", "tender"))));
            }
        }
    }

    @Test
    void callsGoOnWhileTheDiskRefusesAndWhatWasHeldIsKeptAfterwards() throws Exception {
        try (Stand stand = stand()) {
            Stand.await(stand.send("pair-a", 5, "pearladder-account", "tender"));
            Stand.until("it is kept", () -> count(stand, LogEntryType.ENDED) == 1);
            Path file;
            try (var files = Files.list(stand.folder.resolve("r1/records"))) {
                file = files.filter(one -> one.toString().endsWith(".db"))
                        .findFirst()
                        .orElseThrow();
            }
            try (var other = JDBC.createConnection("jdbc:sqlite:" + file, new Properties());
                    var locking = other.createStatement()) {
                locking.execute("begin immediate");
                for (int i = 0; i < 5; i++) {
                    assertEquals(
                            "settled",
                            Stand.state(Stand.await(stand.send("pair-a", 5, "pearladder-account", "tender"))));
                }
                Stand.until(
                        "the router says that nothing is kept", () -> stand.metric("pearladder_records_failing") == 1);
                for (int i = 0; i < 5; i++) {
                    assertEquals(
                            "settled",
                            Stand.state(Stand.await(stand.send("pair-a", 5, "pearladder-account", "tender"))));
                }
                locking.execute("rollback");
            }
            Stand.until("all ends are kept", () -> count(stand, LogEntryType.ENDED) == 11);
            Stand.until("it says so", () -> stand.metric("pearladder_records_failing") == 0);
            Stand.until("what was left out is told", () -> count(stand, LogEntryType.DROPPED) == 1);
        }
    }

    @Test
    void aSecondRouterOnTheSameFolderIsRefused() {
        try (Stand stand = stand()) {
            Throwable refused = assertThrows(
                    IllegalStateException.class,
                    () -> stand.startRouter("r1", "127.0.0.1:" + stand.fleet.discoveryPort(), RULES));
            assertTrue(
                    refused.getCause().getMessage().contains("held by another"),
                    refused.getCause().getMessage());
        }
    }
}
