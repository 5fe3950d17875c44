package pearladder.metering;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.TreeMap;
import org.junit.jupiter.api.Test;

class UsageTest {
    private static final long MINUTE = 60_000;
    private static final long KEPT = 10_000;

    private static List<UsageShare> shares(List<InstanceObservation> all, long until) {
        UsageAccounting usage = new UsageAccounting(MINUTE, KEPT, 2 * MINUTE);
        List<UsageShare> shares = new ArrayList<>();
        all.forEach(one -> shares.addAll(usage.on(one)));
        shares.addAll(usage.end(until));
        assertEquals(0, usage.tooLate());
        return shares;
    }

    private static Map<String, Long> byAccount(List<UsageShare> shares) {
        Map<String, Long> sums = new TreeMap<>();
        shares.forEach(share -> sums.merge(share.account(), share.amount(), Long::sum));
        sums.values().removeIf(amount -> amount == 0);
        return sums;
    }

    private static InstanceObservation memory(String model, long megabytes) {
        return new InstanceObservation.Memory(0, "r1", model, megabytes);
    }

    private static InstanceObservation worked(long at, String router, String account, long micros) {
        return new InstanceObservation.Worked(at, router, "e1", "m", account, micros);
    }

    @Test
    void aCopyCountsFromTheBeginningOfItsLoadUntilItIsNotKeptAnyMore() {
        assertEquals(
                Map.of("tender", 100L * (5_000 + KEPT)),
                byAccount(shares(
                        List.of(
                                memory("m", 100),
                                new InstanceObservation.Loading(1_000, "r1", "e1", "m", "tender", 0),
                                worked(6_000, "r1", "tender", 500)),
                        10 * MINUTE)));
    }

    @Test
    void aLoadThatLastsForLongerThanCopiesAreKeptCountsWhole() {
        assertEquals(
                Map.of("tender", 100L * (30_000 + 500 + KEPT)),
                byAccount(shares(
                        List.of(
                                memory("m", 100),
                                new InstanceObservation.Loading(1_000, "r1", "e1", "m", "tender", 30_000),
                                worked(31_500, "r1", "tender", 500)),
                        10 * MINUTE)));
    }

    @Test
    void aFailedLoadAndADeadEngineStopCountingAtOnce() {
        assertEquals(
                Map.of("tender", 100L * 2_000),
                byAccount(shares(
                        List.of(
                                memory("m", 100),
                                new InstanceObservation.Loading(1_000, "r1", "e1", "m", "tender", 0),
                                new InstanceObservation.LoadFailed(3_000, "r1", "e1", "m")),
                        10 * MINUTE)));
        assertEquals(
                Map.of("tender", 100L * 6_000),
                byAccount(shares(
                        List.of(
                                memory("m", 100),
                                new InstanceObservation.Loading(1_000, "r1", "e1", "m", "tender", 0),
                                worked(5_000, "r1", "tender", 9),
                                new InstanceObservation.Gone(7_000, "r2", "e1")),
                        10 * MINUTE)));
    }

    @Test
    void anEngineThatWasCutOffCountsAsLongAsItsCopiesAreKeptAndALaterWordCorrectsIt() {
        List<InstanceObservation> seen = new ArrayList<>(List.of(
                memory("m", 100),
                new InstanceObservation.Loading(1_000, "r1", "e1", "m", "tender", 0),
                worked(2_000, "r1", "tender", 9)));
        assertEquals(100L * 11_000, byAccount(shares(seen, MINUTE)).get("tender"));
        // another router reached it all the time
        seen.add(worked(9_000, "r2", "tender", 9));
        assertEquals(100L * 18_000, byAccount(shares(seen, MINUTE)).get("tender"));
        // and the list tells at last when it died
        seen.add(new InstanceObservation.Gone(9_500, "r1", "e1"));
        assertEquals(100L * 8_500, byAccount(shares(seen, MINUTE)).get("tender"));
    }

    @Test
    void sharedCopiesAreSplitByWorkAndOneCallBearsItsOwnWorkOnly() {
        List<InstanceObservation> seen = new ArrayList<>(List.of(memory("m", 100)));
        seen.add(new InstanceObservation.Loading(0, "r1", "e1", "m", "big", 0));
        for (long at = 1_000; at < 5 * MINUTE; at += 1_000) {
            seen.add(worked(at, "r1", "big", 1_000));
        }
        long alone = byAccount(shares(seen, 10 * MINUTE)).get("big");
        seen.add(worked(4 * MINUTE + 500, "r1", "small", 1_000));
        Map<String, Long> both = byAccount(shares(seen, 10 * MINUTE));
        assertEquals(alone, both.get("big") + both.get("small"));
        // one call of some three hundred, in the last of five minutes
        assertTrue(both.get("small") < alone / 300, both + " of " + alone);
        assertTrue(both.get("small") > 0);
    }

    @Test
    void copiesThatAnOrderBroughtAndNobodyUsedAreNobodys() {
        assertEquals(
                Map.of("", 100L * KEPT),
                byAccount(shares(
                        List.of(memory("m", 100), new InstanceObservation.Loading(1_000, "r1", "e1", "m", "", 0)),
                        10 * MINUTE)));
    }

    @Test
    void extraCopiesCountEachAndWhatTheEngineSaysHolds() {
        assertEquals(
                Map.of("tender", 100L * (4_000 + 3 * 2_000)),
                byAccount(shares(
                        List.of(
                                memory("m", 100),
                                new InstanceObservation.Loading(1_000, "r1", "e1", "m", "tender", 0),
                                worked(4_000, "r1", "tender", 5),
                                new InstanceObservation.Copies(5_000, "r1", "e1", "m", 3),
                                new InstanceObservation.Copies(7_000, "r1", "e1", "m", 0)),
                        MINUTE)));
    }

    @Test
    void partsSumToTheWholeByTheLargestRemainder() {
        TreeMap<String, Long> weights = new TreeMap<>(Map.of("a", 1L, "b", 1L, "c", 1L));
        assertEquals(Map.of("a", 34L, "b", 33L, "c", 33L), UsageAccounting.parts(100, weights));
        Random random = new Random(3);
        for (int i = 0; i < 500; i++) {
            TreeMap<String, Long> drawn = new TreeMap<>();
            for (int j = random.nextInt(9); j >= 0; j--) {
                drawn.put("a" + j, 1 + random.nextLong(1L << (1 + random.nextInt(45))));
            }
            long whole = random.nextLong(1L << 50);
            assertEquals(
                    whole,
                    UsageAccounting.parts(whole, drawn).values().stream()
                            .mapToLong(part -> part)
                            .sum());
        }
    }

    /** Laws on drawn records: the order of merging says nothing, sums are exact, and more work never costs an account less. */
    @Test
    void lawsOnDrawnRecords() {
        for (int seed = 0; seed < 60; seed++) {
            Random random = new Random(seed);
            List<InstanceObservation> all =
                    new ArrayList<>(List.of(memory("m0", 100), memory("m1", 333), memory("m2", 7)));
            for (int i = 0; i < 150; i++) {
                long at = random.nextInt((int) (6 * MINUTE));
                String router = "r" + random.nextInt(3);
                String engine = "e" + random.nextInt(3);
                String model = "m" + random.nextInt(3);
                String account = "a" + random.nextInt(3);
                all.add(
                        switch (random.nextInt(9)) {
                            case 0 -> new InstanceObservation.Loading(at, router, engine, model, account, 0);
                            case 1 -> new InstanceObservation.LoadFailed(at, router, engine, model);
                            case 2 -> new InstanceObservation.Copies(at, router, engine, model, random.nextInt(4));
                            case 3 -> new InstanceObservation.Gone(at, router, engine);
                            default -> new InstanceObservation.Worked(
                                    at, router, engine, model, account, 1 + random.nextInt(100_000));
                        });
            }
            UsageAccounting usage = new UsageAccounting(MINUTE, KEPT, 100 * MINUTE);
            all.forEach(usage::on);
            List<UsageShare> one = usage.end(20 * MINUTE);
            List<InstanceObservation> shuffled = new ArrayList<>(all);
            Collections.shuffle(shuffled, random);
            UsageAccounting other = new UsageAccounting(MINUTE, KEPT, 100 * MINUTE);
            shuffled.forEach(other::on);
            assertEquals(one, other.end(20 * MINUTE), "seed " + seed);

            assertEquals(
                    wholeByMilliseconds(all),
                    one.stream().mapToLong(UsageShare::amount).sum(),
                    "seed " + seed);
            InstanceObservation.Worked some = (InstanceObservation.Worked) all.stream()
                    .filter(InstanceObservation.Worked.class::isInstance)
                    .skip(random.nextInt(20))
                    .findFirst()
                    .orElseThrow();
            List<InstanceObservation> more = new ArrayList<>(all);
            more.add(new InstanceObservation.Worked(
                    some.at(), some.router(), some.engine(), some.model(), some.account(), 50_000));
            UsageAccounting third = new UsageAccounting(MINUTE, KEPT, 100 * MINUTE);
            more.forEach(third::on);
            assertTrue(
                    byAccount(third.end(20 * MINUTE)).get(some.account())
                            >= byAccount(one).get(some.account()),
                    "seed " + seed);
        }
    }

    /** The whole by another way: every millisecond of every engine and model is looked at by itself. */
    private static long wholeByMilliseconds(List<InstanceObservation> all) {
        Map<String, Long> memory = new HashMap<>();
        List<InstanceObservation> sorted = new ArrayList<>(all);
        sorted.sort((a, b) -> a.at() != b.at() ? Long.compare(a.at(), b.at()) : Integer.compare(rank(a), rank(b)));
        sorted.forEach(one -> {
            if (one instanceof InstanceObservation.Memory said) {
                memory.put(said.model(), said.megabytes());
            }
        });
        long whole = 0;
        for (String engine : List.of("e0", "e1", "e2")) {
            for (String model : List.of("m0", "m1", "m2")) {
                int next = 0;
                int copies = 0;
                long touched = -1;
                for (long now = 0; now < 7 * MINUTE; now++) {
                    for (; next < sorted.size() && sorted.get(next).at() == now; next++) {
                        InstanceObservation one = sorted.get(next);
                        boolean alive = copies > 0 && now < touched + KEPT;
                        int had = alive ? copies : 0;
                        int has = one instanceof InstanceObservation.Gone gone
                                        && gone.engine().equals(engine)
                                ? 0
                                : one instanceof InstanceObservation.LoadFailed f
                                                && f.engine().equals(engine)
                                                && f.model().equals(model)
                                        ? Math.max(0, had - 1)
                                        : one instanceof InstanceObservation.Loading l
                                                        && l.engine().equals(engine)
                                                        && l.model().equals(model)
                                                ? Math.max(1, had)
                                                : one instanceof InstanceObservation.Worked w
                                                                && w.engine().equals(engine)
                                                                && w.model().equals(model)
                                                        ? Math.max(1, had)
                                                        : one instanceof InstanceObservation.Copies c
                                                                        && c.engine()
                                                                                .equals(engine)
                                                                        && c.model()
                                                                                .equals(model)
                                                                ? c.copies()
                                                                : -1;
                        if (has >= 0) {
                            copies = has;
                            touched = now;
                        }
                    }
                    whole += copies > 0 && now < touched + KEPT ? copies * memory.get(model) : 0;
                }
            }
        }
        return whole;
    }

    private static int rank(InstanceObservation evidence) {
        return evidence instanceof InstanceObservation.Memory
                ? 0
                : evidence instanceof InstanceObservation.Gone
                        ? 1
                        : evidence instanceof InstanceObservation.LoadFailed
                                ? 2
                                : evidence instanceof InstanceObservation.Loading
                                        ? 3
                                        : evidence instanceof InstanceObservation.Copies ? 4 : 5;
    }
}
