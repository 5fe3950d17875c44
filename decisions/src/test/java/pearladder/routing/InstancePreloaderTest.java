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

/** Load requests that renew, add and prewarm instances. */
class InstancePreloaderTest {
    @Test
    void instanceInUseIsRenewedWithinTheQuota() {
        RoutingSettings facts =
                Rig.facts(true, true, new RoutingSettings.LoadQuota(2, 0.1, TimeSpan.seconds(5)), List.of());
        Rig rig = Rig.withWorkers(facts, 4);
        String home = Rig.home(rig, "f");
        Rig.home(rig, "f");
        rig.pass(TimeSpan.seconds(7));
        assertTrue(rig.all.contains(new Action.LoadInstances(home, "f", 1)));
    }

    private static List<Action> tick(Rig rig) {
        int from = rig.all.size();
        rig.pass(TimeSpan.millis(100));
        return List.copyOf(rig.all.subList(from, rig.all.size()));
    }

    /** A new version's copies come up ahead of its calls, one at a time, and are told once they bear the share. */
    @Test
    void prewarmingRequestsOneLoadAtATimeAndReportsProgress() {
        Rig rig = Rig.withWorkers(
                Rig.facts(true, true, new RoutingSettings.LoadQuota(4, 0, TimeSpan.seconds(10)), List.of()), 4);
        rig.now = rig.now.plus(TimeSpan.millis(100));
        rig.on(new Event.PrewarmRequested("f@2", "f", 1, 2, 100, TimeSpan.millis(500)));
        List<Action> first = tick(rig);
        List<Action.LoadInstances> holds = first.stream()
                .filter(Action.LoadInstances.class::isInstance)
                .map(Action.LoadInstances.class::cast)
                .toList();
        assertEquals(1, holds.size());
        assertTrue(first.contains(new Action.PrewarmProgress("f@2", 0)), first.toString());
        assertTrue(tick(rig).stream().noneMatch(Action.LoadInstances.class::isInstance), "one at a time");
        rig.on(new Event.LoadCompleted(holds.get(0).worker(), "f@2", Outcome.SUCCESS, 1, TimeSpan.millis(500)));
        assertTrue(tick(rig).contains(new Action.PrewarmProgress("f@2", 1)));
        rig.on(new Event.PrewarmRequested("f@2", "f", 0, 2, 100, TimeSpan.millis(500)));
        assertTrue(tick(rig).stream()
                .noneMatch(
                        action -> action instanceof Action.PrewarmProgress || action instanceof Action.LoadInstances));
    }
}
