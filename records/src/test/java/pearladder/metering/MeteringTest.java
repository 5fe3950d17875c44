package pearladder.metering;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import pearladder.records.Entry;
import pearladder.records.Keeping;
import pearladder.records.Kind;
import pearladder.records.Records;
import pearladder.usage.Share;

class MeteringTest {
    /** A whole minute of the wall clock. */
    private static final long NOON = 1_796_126_400_000L;

    @TempDir
    private Path folder;

    private Path router(String name, Entry... entries) throws IOException {
        Path records = folder.resolve(name);
        try (Records kept = Records.open(records, Keeping.USUAL, text -> {})) {
            kept.append(List.of(entry(0, Kind.STARTED, "", "", "", name, 10_000)));
            for (Entry entry : entries) {
                kept.append(List.of(entry));
            }
        }
        return records;
    }

    private static Entry entry(
            long seconds, Kind kind, String model, String account, String engine, String note, long amount) {
        return Entry.of(NOON + seconds * 1000, kind, model, account, engine, note, amount, 0);
    }

    private static Map<String, Long> byAccount(List<Path> folders) throws IOException {
        Map<String, Long> sums = new TreeMap<>();
        assertEquals(
                0,
                Metering.read(folders, share -> sums.merge(share.account(), share.amount(), Long::sum))
                        .tooLate());
        sums.values().removeIf(amount -> amount == 0);
        return sums;
    }

    /**
     * By hand: 400 MB from the load's beginning at 5 s to ten seconds after the last call of either router at 50 s, so 55 s and
     * 22,000 MB seconds. All in one minute: 3 s of work of tender and 1 s of filing, so three quarters and one.
     */
    @Test
    void aModelThatServesTwoAccountsThroughTwoRoutersIsSplitAsByHand() throws IOException {
        Path one = router(
                "r1",
                entry(0, Kind.MODEL, "m", "", "", "", 400),
                Entry.of(NOON + 5_000, Kind.LOADING, "m", "tender", "e1", "", 1, 15_000_000),
                entry(20, Kind.WORK, "m", "tender", "e1", "", 2_000_000),
                entry(30, Kind.WORK, "m", "tender", "e1", "", 500_000));
        Path two = router(
                "r2",
                entry(2, Kind.MODEL, "m", "", "", "", 400),
                entry(40, Kind.WORK, "m", "tender", "e1", "", 500_000),
                entry(50, Kind.WORK, "m", "filing", "e1", "", 1_000_000));
        Map<String, Long> sums = byAccount(List.of(one, two));
        assertEquals(Map.of("filing", 5_500_000L, "tender", 16_500_000L), sums);
        assertEquals(sums, byAccount(List.of(two, one)), "in any order");
        assertEquals(sums, byAccount(List.of(one, two)), "and again");
    }

    @Test
    void aDeathThatTheListTellsAndARestartEndWhatStood() throws IOException {
        Path one = router(
                "r1",
                entry(0, Kind.MODEL, "m", "", "", "", 100),
                entry(1, Kind.ENGINE, "", "", "e1", "IN_SERVICE", NOON - 1),
                entry(1, Kind.ENGINE, "", "", "e2", "IN_SERVICE", NOON - 1),
                entry(2, Kind.LOADING, "m", "a", "e1", "", 1),
                entry(2, Kind.LOADING, "m", "a", "e2", "", 1),
                entry(5, Kind.ENGINE, "", "", "e1", "GONE", 0),
                entry(7, Kind.ENGINE, "", "", "e2", "IN_SERVICE", NOON + 6_000));
        assertEquals(Map.of("a", 100L * 3_000 + 100L * 4_000), byAccount(List.of(one)));
    }

    /** The clock steps back an hour: nothing is lost and nothing is counted twice; what came too late is told. */
    @Test
    void aClockThatStepsBackIsTold() throws IOException {
        Path one = router(
                "r1",
                entry(0, Kind.MODEL, "m", "", "", "", 100),
                entry(600, Kind.LOADING, "m", "a", "e1", "", 1),
                entry(605, Kind.WORK, "m", "a", "e1", "", 9),
                entry(1800, Kind.WORK, "m", "a", "e1", "", 9),
                entry(-1800, Kind.WORK, "m", "a", "e1", "", 9));
        List<Share> shares = new ArrayList<>();
        Metering.Read read = Metering.read(List.of(one), shares::add);
        assertEquals(1, read.tooLate());
        assertEquals(
                100L * 15_000,
                shares.stream()
                        .filter(share -> share.from() < NOON + 700_000)
                        .mapToLong(Share::amount)
                        .sum());
    }
}
