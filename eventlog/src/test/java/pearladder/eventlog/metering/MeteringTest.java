package pearladder.eventlog.metering;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import pearladder.eventlog.EventLog;
import pearladder.eventlog.LogEntry;
import pearladder.eventlog.LogEntryType;
import pearladder.eventlog.RetentionSettings;
import pearladder.metering.UsageShare;

/** Tests the usage by tenant that is computed from the event logs of several routers. */
class MeteringTest {
    /** Start of an interval, in milliseconds since 1970. */
    private static final long NOON = 1_796_126_400_000L;

    @TempDir
    private Path directory;

    private Path router(String name, LogEntry... entries) throws IOException {
        Path routerDirectory = directory.resolve(name);
        try (EventLog log = EventLog.open(routerDirectory, RetentionSettings.DEFAULTS, text -> {})) {
            log.append(List.of(entry(0, LogEntryType.STARTED, "", "", "", name, 10_000)));
            for (LogEntry entry : entries) {
                log.append(List.of(entry));
            }
        }
        return routerDirectory;
    }

    private static LogEntry entry(
            long seconds, LogEntryType type, String function, String tenant, String worker, String note, long amount) {
        return LogEntry.of(NOON + seconds * 1000, type, function, tenant, worker, note, amount, 0);
    }

    private static Map<String, Long> megabyteMillisByTenant(List<Path> directories) throws IOException {
        Map<String, Long> sums = new TreeMap<>();
        assertEquals(
                0,
                Metering.computeShares(
                                directories, share -> sums.merge(share.tenant(), share.megabyteMillis(), Long::sum))
                        .lateEntries());
        sums.values().removeIf(amount -> amount == 0);
        return sums;
    }

    /**
     * Expected values: 400 MB from the start of the load at 5 s to ten seconds after the last request of either router
     * at 50 s, so 55 s and 22,000 MB seconds. All of it is in one interval, with 3 s of work of tender and 1 s of
     * filing, so tender gets three quarters and filing one.
     */
    @Test
    void theUsageOfAModelIsSplitBetweenTenantsOfTwoRouters() throws IOException {
        Path firstRouter = router(
                "r1",
                entry(0, LogEntryType.MODEL, "m", "", "", "", 400),
                LogEntry.of(NOON + 5_000, LogEntryType.LOADING, "m", "tender", "e1", "", 1, 15_000_000),
                entry(20, LogEntryType.WORK, "m", "tender", "e1", "", 2_000_000),
                entry(30, LogEntryType.WORK, "m", "tender", "e1", "", 500_000));
        Path secondRouter = router(
                "r2",
                entry(2, LogEntryType.MODEL, "m", "", "", "", 400),
                entry(40, LogEntryType.WORK, "m", "tender", "e1", "", 500_000),
                entry(50, LogEntryType.WORK, "m", "filing", "e1", "", 1_000_000));
        Map<String, Long> sums = megabyteMillisByTenant(List.of(firstRouter, secondRouter));
        assertEquals(Map.of("filing", 5_500_000L, "tender", 16_500_000L), sums);
        assertEquals(sums, megabyteMillisByTenant(List.of(secondRouter, firstRouter)), "in another order");
        assertEquals(sums, megabyteMillisByTenant(List.of(firstRouter, secondRouter)), "a second time");
    }

    @Test
    void instancesEndWhenTheirWorkerIsRemovedOrRestarted() throws IOException {
        Path router = router(
                "r1",
                entry(0, LogEntryType.MODEL, "m", "", "", "", 100),
                entry(1, LogEntryType.ENGINE, "", "", "e1", "IN_SERVICE", NOON - 1),
                entry(1, LogEntryType.ENGINE, "", "", "e2", "IN_SERVICE", NOON - 1),
                entry(2, LogEntryType.LOADING, "m", "a", "e1", "", 1),
                entry(2, LogEntryType.LOADING, "m", "a", "e2", "", 1),
                entry(5, LogEntryType.ENGINE, "", "", "e1", "GONE", 0),
                entry(7, LogEntryType.ENGINE, "", "", "e2", "IN_SERVICE", NOON + 6_000));
        assertEquals(Map.of("a", 100L * 3_000 + 100L * 4_000), megabyteMillisByTenant(List.of(router)));
    }

    /** The clock is set back by an hour: no usage is lost or counted twice, and the late entry is reported. */
    @Test
    void entriesAfterAClockStepBackAreReportedAsLate() throws IOException {
        Path router = router(
                "r1",
                entry(0, LogEntryType.MODEL, "m", "", "", "", 100),
                entry(600, LogEntryType.LOADING, "m", "a", "e1", "", 1),
                entry(605, LogEntryType.WORK, "m", "a", "e1", "", 9),
                entry(1800, LogEntryType.WORK, "m", "a", "e1", "", 9),
                entry(-1800, LogEntryType.WORK, "m", "a", "e1", "", 9));
        List<UsageShare> shares = new ArrayList<>();
        Metering.MeteringResult read = Metering.computeShares(List.of(router), shares::add);
        assertEquals(1, read.lateEntries());
        assertEquals(
                100L * 15_000,
                shares.stream()
                        .filter(share -> share.intervalStartMillis() < NOON + 700_000)
                        .mapToLong(UsageShare::megabyteMillis)
                        .sum());
    }
}
