package pearladder.routing;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Test;
import pearladder.routing.api.Action;
import pearladder.routing.api.Event;
import pearladder.routing.api.RoutingSettings;
import pearladder.routing.api.TimeSpan;
import pearladder.routing.state.PolicySnapshot;

/** Snapshots written by one router process and restored by the next. */
class PolicySnapshotMapperTest {
    @Test
    void restoredSnapshotEqualsTheWrittenOne() {
        Rig one = Rig.withWorkers(
                Rig.facts(true, true, new RoutingSettings.LoadQuota(3, 0, TimeSpan.seconds(30)), List.of()), 4);
        for (int i = 0; i < 12; i++) {
            one.settle(one.call("f" + i % 3, Rig.RETRIABLE), Rig.QUICK);
        }
        one.pass(TimeSpan.seconds(7));
        PolicySnapshot known = one.policy.snapshot(one.now);
        assertEquals(3, known.functions().size());
        assertTrue(known.functions().stream()
                .allMatch(function -> function.instances().size() == 1));
        assertEquals(3, known.loadRequestAges().size(), "copies in use were renewed, up to the ration");
        Rig two = Rig.withWorkers(one.facts, 4);
        two.now = one.now;
        two.on(new Event.SnapshotRestored(known));
        assertEquals(known, two.policy.snapshot(two.now));
        for (int i = 0; i < 12; i++) {
            two.settle(two.call("f" + i % 3, Rig.RETRIABLE), Rig.QUICK);
        }
        two.pass(TimeSpan.seconds(7));
        assertTrue(
                two.all.stream().noneMatch(Action.LoadInstances.class::isInstance), "the ration counts across lives");
    }

    @Test
    void ejectedWorkerStaysEjectedAfterARestart() {
        Rig rig = Rig.withWorkers(Rig.plain(), 4);
        String home = Rig.home(rig, "f");
        Rig next = Rig.withWorkers(Rig.plain(), 4);
        next.on(new Event.SnapshotRestored(new PolicySnapshot(
                TimeSpan.ZERO,
                List.of(new PolicySnapshot.WorkerSnapshot(home, null, TimeSpan.seconds(2))),
                List.of(),
                List.of(),
                0,
                0)));
        assertNotEquals(home, Rig.home(next, "f"));
        next.pass(TimeSpan.seconds(12));
        assertEquals(home, Rig.home(next, "f"));
    }
}
