package pearladder.recovery;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;
import pearladder.routing.api.TimeSpan;
import pearladder.routing.state.PolicySnapshot;

class BeliefsTest {
    private static final TimeSpan KEPT = TimeSpan.seconds(10);
    private static final TimeSpan WINDOW = TimeSpan.seconds(5);

    private final SnapshotRecovery beliefs = new SnapshotRecovery(KEPT, WINDOW, 4);

    private static TimeSpan s(double seconds) {
        return TimeSpan.seconds(seconds);
    }

    private static PolicySnapshot known(TimeSpan up, double calls, PolicySnapshot.InstanceSnapshot... copies) {
        return new PolicySnapshot(
                TimeSpan.ZERO,
                List.of(new PolicySnapshot.WorkerSnapshot("e1", up, s(2))),
                List.of(new PolicySnapshot.FunctionSnapshot("f", 2, 400, null, calls, 5, 0.5, List.of(copies))),
                List.of(),
                10,
                5);
    }

    private PolicySnapshot after(PolicySnapshot known, TimeSpan gap, TimeSpan upNow) {
        Map<String, TimeSpan> up = new HashMap<>();
        up.put("e1", upNow);
        return beliefs.after(new SnapshotRecovery.Found(known, gap, List.of(), true, up))
                .known();
    }

    @Test
    void aShortGapAgesWhatIsBelieved() {
        PolicySnapshot now =
                after(known(s(100), 5, new PolicySnapshot.InstanceSnapshot("e1", 2, s(1), true)), s(2), s(102.1));
        assertEquals(s(2), now.age());
        assertEquals(List.of(new PolicySnapshot.WorkerSnapshot("e1", s(102.1), TimeSpan.ZERO)), now.workers());
        assertEquals(
                List.of(new PolicySnapshot.InstanceSnapshot("e1", 2, s(3), true)),
                now.functions().get(0).instances());
    }

    @Test
    void whatWasLearntOfAnotherProcessIsGone() {
        PolicySnapshot now =
                after(known(s(100), 5, new PolicySnapshot.InstanceSnapshot("e1", 2, s(1), true)), s(2), s(1));
        assertEquals(List.of(), now.workers());
        assertEquals(List.of(), now.functions().get(0).instances());
        assertEquals(5, now.functions().get(0).recentRequests(), "what calls usually take is the function's own");
        assertEquals(
                List.of(),
                after(known(null, 5, new PolicySnapshot.InstanceSnapshot("e1", 1, s(1), true)), s(11), null)
                        .workers());
        assertEquals(
                1,
                after(known(null, 5, new PolicySnapshot.InstanceSnapshot("e1", 1, s(1), true)), s(2), null)
                        .workers()
                        .size());
    }

    @Test
    void copiesEndWithTheTimeTheyAreKept() {
        assertEquals(
                List.of(),
                after(known(s(100), 5, new PolicySnapshot.InstanceSnapshot("e1", 1, s(8.5), true)), s(2), s(102))
                        .functions()
                        .get(0)
                        .instances());
    }

    @Test
    void anOldSnapshotAndOneFromTheFutureAreWorthNothing() {
        assertEquals(List.of(), after(known(s(100), 5), s(31), s(131)).functions());
        assertEquals(List.of(), after(known(s(100), 5), s(-3600), s(100)).functions());
        assertEquals(
                List.of(),
                beliefs.after(new SnapshotRecovery.Found(null, s(1), List.of(), true, Map.of()))
                        .known()
                        .functions());
    }

    @Test
    void ordersCountWhateverElseIsBelieved() {
        List<TimeSpan> ages = List.of(s(1), s(6), s(4), s(-3600));
        assertEquals(
                List.of(s(4), s(1), TimeSpan.ZERO),
                beliefs.after(new SnapshotRecovery.Found(null, s(1), ages, true, Map.of()))
                        .known()
                        .loadRequestAges());
        assertEquals(
                List.of(s(1), TimeSpan.ZERO, TimeSpan.ZERO, TimeSpan.ZERO),
                beliefs.after(new SnapshotRecovery.Found(null, s(1), List.of(s(1)), false, Map.of()))
                        .known()
                        .loadRequestAges());
        assertEquals(
                List.of(),
                new SnapshotRecovery(KEPT, TimeSpan.ZERO, 4)
                        .after(new SnapshotRecovery.Found(null, s(1), ages, false, Map.of()))
                        .known()
                        .loadRequestAges());
    }

    @Test
    void aPoisonedSnapshotIsBelievedInNothing() {
        List<PolicySnapshot> poisoned = List.of(
                known(s(100), Double.NaN),
                known(s(100), -1),
                known(s(-5), 1),
                known(s(100), 1, new PolicySnapshot.InstanceSnapshot("e1", 100_000, s(1), true)),
                known(s(100), 1, new PolicySnapshot.InstanceSnapshot("e1", 1, s(-9), true)),
                known(
                        s(100),
                        1,
                        new PolicySnapshot.InstanceSnapshot("e1", 1, s(1), true),
                        new PolicySnapshot.InstanceSnapshot("e1", 1, s(1), true)),
                new PolicySnapshot(TimeSpan.ZERO, List.of(), List.of(), List.of(), Double.POSITIVE_INFINITY, 1));
        for (PolicySnapshot one : poisoned) {
            SnapshotRecovery.Believed now =
                    beliefs.after(new SnapshotRecovery.Found(one, s(1), List.of(s(1)), true, Map.of("e1", s(101))));
            assertTrue(now.why().startsWith("the snapshot is none"), now.why());
            assertEquals(List.of(), now.known().functions());
            assertEquals(List.of(s(1)), now.known().loadRequestAges());
        }
    }

    /** On drawn snapshots: nothing gets younger or more, and no copy outlives its process or its time. */
    @Test
    void lawsOnDrawnSnapshots() {
        for (int seed = 0; seed < 300; seed++) {
            SplittableRandom random = new SplittableRandom(seed);
            TimeSpan gap = s(random.nextDouble() * 40 - 3);
            List<PolicySnapshot.WorkerSnapshot> workers = new ArrayList<>();
            Map<String, TimeSpan> up = new HashMap<>();
            for (int i = 0; i < 6; i++) {
                TimeSpan then = random.nextInt(5) == 0 ? null : s(random.nextInt(100));
                workers.add(new PolicySnapshot.WorkerSnapshot("e" + i, then, s(random.nextInt(5))));
                if (random.nextInt(4) > 0) {
                    up.put(
                            "e" + i,
                            then == null ? null : random.nextBoolean() ? then.plus(gap) : s(random.nextInt(100)));
                }
            }
            List<PolicySnapshot.InstanceSnapshot> copies = new ArrayList<>();
            for (int i = 0; i < 6; i++) {
                copies.add(new PolicySnapshot.InstanceSnapshot(
                        "e" + i, 1 + random.nextInt(4), s(random.nextInt(12)), random.nextBoolean()));
            }
            List<TimeSpan> orders = new ArrayList<>();
            for (int i = random.nextInt(8); i > 0; i--) {
                orders.add(s(random.nextDouble() * 9));
            }
            boolean whole = random.nextBoolean();
            PolicySnapshot then = new PolicySnapshot(
                    TimeSpan.ZERO,
                    workers,
                    List.of(new PolicySnapshot.FunctionSnapshot("f", 1, 1, null, 1, 1, 1, copies)),
                    List.of(),
                    1,
                    1);
            PolicySnapshot now = beliefs.after(new SnapshotRecovery.Found(then, gap, orders, whole, up))
                    .known();
            for (PolicySnapshot.FunctionSnapshot function : now.functions()) {
                for (PolicySnapshot.InstanceSnapshot copy : function.instances()) {
                    PolicySnapshot.InstanceSnapshot was = copies.stream()
                            .filter(one -> one.worker().equals(copy.worker()))
                            .findFirst()
                            .orElseThrow();
                    assertEquals(was.sinceRenewed().plus(gap), copy.sinceRenewed());
                    assertTrue(!copy.sinceRenewed().isLongerThan(KEPT) && copy.instances() <= was.instances());
                    assertTrue(now.workers().stream()
                            .anyMatch(worker -> worker.worker().equals(copy.worker())));
                }
            }
            for (PolicySnapshot.WorkerSnapshot worker : now.workers()) {
                assertTrue(up.containsKey(worker.worker()));
                assertTrue(worker.ejectedFor().nanos() >= 0);
            }
            long counted =
                    orders.stream().filter(age -> !age.isLongerThan(WINDOW)).count();
            assertEquals(
                    whole ? counted : Math.max(counted, 4),
                    now.loadRequestAges().size());
            assertTrue(gap.nanos() >= 0 || now.functions().isEmpty());
        }
    }
}
