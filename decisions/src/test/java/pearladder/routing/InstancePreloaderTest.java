package pearladder.routing;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Test;
import pearladder.routing.api.Action;
import pearladder.routing.api.Event;
import pearladder.routing.api.Outcome;
import pearladder.routing.api.RoutingSettings;
import pearladder.routing.api.TimeSpan;

/** Tests the load requests that renew and prewarm instances. */
class InstancePreloaderTest {
    @Test
    void instanceInUseIsRenewedWithinTheQuota() {
        RoutingSettings settings =
                TestSettings.withLoadRequests(new RoutingSettings.LoadQuota(2, 0.1, TimeSpan.seconds(5)));
        PolicyHarness harness = PolicyHarness.withWorkers(settings, 4);
        String home = harness.homeWorker("f");
        harness.homeWorker("f");
        harness.advance(TimeSpan.seconds(7));
        assertTrue(harness.actions.contains(new Action.LoadInstances(home, "f", 1)));
    }

    private static List<Action> tick(PolicyHarness harness) {
        int from = harness.actions.size();
        harness.advance(TimeSpan.millis(100));
        return List.copyOf(harness.actions.subList(from, harness.actions.size()));
    }

    /** Instances of a new version are loaded ahead of its requests, one at a time, with progress at each tick. */
    @Test
    void prewarmingRequestsOneLoadAtATimeAndReportsProgress() {
        PolicyHarness harness = PolicyHarness.withWorkers(
                TestSettings.withLoadRequests(new RoutingSettings.LoadQuota(4, 0, TimeSpan.seconds(10))), 4);
        harness.now = harness.now.plus(TimeSpan.millis(100));
        harness.on(new Event.PrewarmRequested("f@2", "f", 1, 2, 100, TimeSpan.millis(500)));
        List<Action> first = tick(harness);
        List<Action.LoadInstances> loadRequests = first.stream()
                .filter(Action.LoadInstances.class::isInstance)
                .map(Action.LoadInstances.class::cast)
                .toList();
        assertEquals(1, loadRequests.size());
        assertTrue(first.contains(new Action.PrewarmProgress("f@2", 0)), first.toString());
        assertTrue(tick(harness).stream().noneMatch(Action.LoadInstances.class::isInstance), "one load at a time");
        harness.on(
                new Event.LoadCompleted(loadRequests.get(0).worker(), "f@2", Outcome.SUCCESS, 1, TimeSpan.millis(500)));
        assertTrue(tick(harness).contains(new Action.PrewarmProgress("f@2", 1)));
        harness.on(new Event.PrewarmRequested("f@2", "f", 0, 2, 100, TimeSpan.millis(500)));
        assertTrue(tick(harness).stream()
                .noneMatch(
                        action -> action instanceof Action.PrewarmProgress || action instanceof Action.LoadInstances));
    }
}
