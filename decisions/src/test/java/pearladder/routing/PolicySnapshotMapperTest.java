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

/** Snapshots written by one router process and restored by the after. */
class PolicySnapshotMapperTest {
    @Test
    void restoredSnapshotEqualsTheWrittenOne() {
        PolicyHarness one = PolicyHarness.withWorkers(
                TestSettings.withLoadRequests(new RoutingSettings.LoadQuota(3, 0, TimeSpan.seconds(30))), 4);
        for (int i = 0; i < 12; i++) {
            one.succeed(one.request("f" + i % 3, TestSettings.IDEMPOTENT), PolicyHarness.SHORT_TIME);
        }
        one.advance(TimeSpan.seconds(7));
        PolicySnapshot snapshot = one.policy.snapshot(one.now);
        assertEquals(3, snapshot.functions().size());
        assertTrue(snapshot.functions().stream()
                .allMatch(function -> function.instances().size() == 1));
        assertEquals(3, snapshot.loadRequestAges().size(), "instances in use were renewed, up to the load quota");
        PolicyHarness two = PolicyHarness.withWorkers(one.settings, 4);
        two.now = one.now;
        two.on(new Event.SnapshotRestored(snapshot));
        assertEquals(snapshot, two.policy.snapshot(two.now));
        for (int i = 0; i < 12; i++) {
            two.succeed(two.request("f" + i % 3, TestSettings.IDEMPOTENT), PolicyHarness.SHORT_TIME);
        }
        two.advance(TimeSpan.seconds(7));
        assertTrue(
                two.actions.stream().noneMatch(Action.LoadInstances.class::isInstance),
                "the load quota counts across restarts");
    }

    @Test
    void ejectedWorkerStaysEjectedAfterARestart() {
        PolicyHarness before = PolicyHarness.withWorkers(TestSettings.withoutLoadRequests(), 4);
        String home = before.homeWorker("f");
        PolicyHarness after = PolicyHarness.withWorkers(TestSettings.withoutLoadRequests(), 4);
        after.on(new Event.SnapshotRestored(new PolicySnapshot(
                TimeSpan.ZERO,
                List.of(new PolicySnapshot.WorkerSnapshot(home, null, TimeSpan.seconds(2))),
                List.of(),
                List.of(),
                0,
                0)));
        assertNotEquals(home, after.homeWorker("f"));
        after.advance(TimeSpan.seconds(12));
        assertEquals(home, after.homeWorker("f"));
    }
}
