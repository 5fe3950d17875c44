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

/** Tests snapshots written by one router process and restored by the next. */
class PolicySnapshotMapperTest {
    @Test
    void restoredSnapshotEqualsTheWrittenOne() {
        PolicyHarness original = PolicyHarness.withWorkers(
                TestSettings.withLoadRequests(new RoutingSettings.LoadQuota(3, 0, TimeSpan.seconds(30))), 4);
        for (int i = 0; i < 12; i++) {
            original.succeed(original.request("f" + i % 3, TestSettings.IDEMPOTENT), PolicyHarness.SHORT_TIME);
        }
        original.advance(TimeSpan.seconds(7));
        PolicySnapshot snapshot = original.policy.snapshot(original.now);
        assertEquals(3, snapshot.functions().size());
        assertTrue(snapshot.functions().stream()
                .allMatch(function -> function.instances().size() == 1));
        assertEquals(3, snapshot.loadRequestAges().size(), "instances in use were renewed, up to the load quota");
        PolicyHarness restored = PolicyHarness.withWorkers(original.settings, 4);
        restored.now = original.now;
        restored.on(new Event.SnapshotRestored(snapshot));
        assertEquals(snapshot, restored.policy.snapshot(restored.now));
        for (int i = 0; i < 12; i++) {
            restored.succeed(restored.request("f" + i % 3, TestSettings.IDEMPOTENT), PolicyHarness.SHORT_TIME);
        }
        restored.advance(TimeSpan.seconds(7));
        assertTrue(
                restored.actions.stream().noneMatch(Action.LoadInstances.class::isInstance),
                "the load quota counts load requests from before the restart");
    }

    @Test
    void ejectedWorkerStaysEjectedAfterARestart() {
        PolicyHarness original = PolicyHarness.withWorkers(TestSettings.withoutLoadRequests(), 4);
        String home = original.homeWorker("f");
        PolicyHarness restored = PolicyHarness.withWorkers(TestSettings.withoutLoadRequests(), 4);
        restored.on(new Event.SnapshotRestored(new PolicySnapshot(
                TimeSpan.ZERO,
                List.of(new PolicySnapshot.WorkerSnapshot(home, null, TimeSpan.seconds(2))),
                List.of(),
                List.of(),
                0,
                0)));
        assertNotEquals(home, restored.homeWorker("f"));
        restored.advance(TimeSpan.seconds(12));
        assertEquals(home, restored.homeWorker("f"));
    }
}
