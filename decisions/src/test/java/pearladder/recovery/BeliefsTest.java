package pearladder.recovery;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;
import pearladder.api.Span;
import pearladder.state.Known;

class BeliefsTest {
    private static final Span KEPT = Span.seconds(10);
    private static final Span WINDOW = Span.seconds(5);

    private final Beliefs beliefs = new Beliefs(KEPT, WINDOW, 4);

    private static Span s(double seconds) {
        return Span.seconds(seconds);
    }

    private static Known known(Span up, double calls, Known.Copy... copies) {
        return new Known(
                Span.NONE,
                List.of(new Known.OfWorker("e1", up, s(2))),
                List.of(new Known.OfFunction("f", 2, 400, null, calls, 5, 0.5, List.of(copies))),
                List.of(),
                10,
                5);
    }

    private Known after(Known known, Span gap, Span upNow) {
        Map<String, Span> up = new HashMap<>();
        up.put("e1", upNow);
        return beliefs.after(new Beliefs.Found(known, gap, List.of(), true, up)).known();
    }

    @Test
    void aShortGapAgesWhatIsBelieved() {
        Known now = after(known(s(100), 5, new Known.Copy("e1", 2, s(1), true)), s(2), s(102.1));
        assertEquals(s(2), now.age());
        assertEquals(List.of(new Known.OfWorker("e1", s(102.1), Span.NONE)), now.workers());
        assertEquals(
                List.of(new Known.Copy("e1", 2, s(3), true)),
                now.functions().get(0).copies());
    }

    @Test
    void whatWasLearntOfAnotherProcessIsGone() {
        Known now = after(known(s(100), 5, new Known.Copy("e1", 2, s(1), true)), s(2), s(1));
        assertEquals(List.of(), now.workers());
        assertEquals(List.of(), now.functions().get(0).copies());
        assertEquals(5, now.functions().get(0).calls(), "what calls usually take is the function's own");
        assertEquals(
                List.of(),
                after(known(null, 5, new Known.Copy("e1", 1, s(1), true)), s(11), null)
                        .workers());
        assertEquals(
                1,
                after(known(null, 5, new Known.Copy("e1", 1, s(1), true)), s(2), null)
                        .workers()
                        .size());
    }

    @Test
    void copiesEndWithTheTimeTheyAreKept() {
        assertEquals(
                List.of(),
                after(known(s(100), 5, new Known.Copy("e1", 1, s(8.5), true)), s(2), s(102))
                        .functions()
                        .get(0)
                        .copies());
    }

    @Test
    void anOldSnapshotAndOneFromTheFutureAreWorthNothing() {
        assertEquals(List.of(), after(known(s(100), 5), s(31), s(131)).functions());
        assertEquals(List.of(), after(known(s(100), 5), s(-3600), s(100)).functions());
        assertEquals(
                List.of(),
                beliefs.after(new Beliefs.Found(null, s(1), List.of(), true, Map.of()))
                        .known()
                        .functions());
    }

    @Test
    void ordersCountWhateverElseIsBelieved() {
        List<Span> ages = List.of(s(1), s(6), s(4), s(-3600));
        assertEquals(
                List.of(s(4), s(1), Span.NONE),
                beliefs.after(new Beliefs.Found(null, s(1), ages, true, Map.of()))
                        .known()
                        .orders());
        assertEquals(
                List.of(s(1), Span.NONE, Span.NONE, Span.NONE),
                beliefs.after(new Beliefs.Found(null, s(1), List.of(s(1)), false, Map.of()))
                        .known()
                        .orders());
        assertEquals(
                List.of(),
                new Beliefs(KEPT, Span.NONE, 4)
                        .after(new Beliefs.Found(null, s(1), ages, false, Map.of()))
                        .known()
                        .orders());
    }

    @Test
    void aPoisonedSnapshotIsBelievedInNothing() {
        List<Known> poisoned = List.of(
                known(s(100), Double.NaN),
                known(s(100), -1),
                known(s(-5), 1),
                known(s(100), 1, new Known.Copy("e1", 100_000, s(1), true)),
                known(s(100), 1, new Known.Copy("e1", 1, s(-9), true)),
                known(s(100), 1, new Known.Copy("e1", 1, s(1), true), new Known.Copy("e1", 1, s(1), true)),
                new Known(Span.NONE, List.of(), List.of(), List.of(), Double.POSITIVE_INFINITY, 1));
        for (Known one : poisoned) {
            Beliefs.Believed now =
                    beliefs.after(new Beliefs.Found(one, s(1), List.of(s(1)), true, Map.of("e1", s(101))));
            assertTrue(now.why().startsWith("the snapshot is none"), now.why());
            assertEquals(List.of(), now.known().functions());
            assertEquals(List.of(s(1)), now.known().orders());
        }
    }

    /** On drawn snapshots: nothing gets younger or more, and no copy outlives its process or its time. */
    @Test
    void lawsOnDrawnSnapshots() {
        for (int seed = 0; seed < 300; seed++) {
            SplittableRandom random = new SplittableRandom(seed);
            Span gap = s(random.nextDouble() * 40 - 3);
            List<Known.OfWorker> workers = new ArrayList<>();
            Map<String, Span> up = new HashMap<>();
            for (int i = 0; i < 6; i++) {
                Span then = random.nextInt(5) == 0 ? null : s(random.nextInt(100));
                workers.add(new Known.OfWorker("e" + i, then, s(random.nextInt(5))));
                if (random.nextInt(4) > 0) {
                    up.put(
                            "e" + i,
                            then == null ? null : random.nextBoolean() ? then.plus(gap) : s(random.nextInt(100)));
                }
            }
            List<Known.Copy> copies = new ArrayList<>();
            for (int i = 0; i < 6; i++) {
                copies.add(new Known.Copy("e" + i, 1 + random.nextInt(4), s(random.nextInt(12)), random.nextBoolean()));
            }
            List<Span> orders = new ArrayList<>();
            for (int i = random.nextInt(8); i > 0; i--) {
                orders.add(s(random.nextDouble() * 9));
            }
            boolean whole = random.nextBoolean();
            Known then = new Known(
                    Span.NONE,
                    workers,
                    List.of(new Known.OfFunction("f", 1, 1, null, 1, 1, 1, copies)),
                    List.of(),
                    1,
                    1);
            Known now = beliefs.after(new Beliefs.Found(then, gap, orders, whole, up))
                    .known();
            for (Known.OfFunction function : now.functions()) {
                for (Known.Copy copy : function.copies()) {
                    Known.Copy was = copies.stream()
                            .filter(one -> one.worker().equals(copy.worker()))
                            .findFirst()
                            .orElseThrow();
                    assertEquals(was.untouched().plus(gap), copy.untouched());
                    assertTrue(!copy.untouched().longerThan(KEPT) && copy.instances() <= was.instances());
                    assertTrue(now.workers().stream()
                            .anyMatch(worker -> worker.worker().equals(copy.worker())));
                }
            }
            for (Known.OfWorker worker : now.workers()) {
                assertTrue(up.containsKey(worker.worker()));
                assertTrue(worker.aside().nanos() >= 0);
            }
            long counted =
                    orders.stream().filter(age -> !age.longerThan(WINDOW)).count();
            assertEquals(whole ? counted : Math.max(counted, 4), now.orders().size());
            assertTrue(gap.nanos() >= 0 || now.functions().isEmpty());
        }
    }
}
