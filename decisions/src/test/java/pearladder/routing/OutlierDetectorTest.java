package pearladder.routing;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;
import pearladder.routing.api.Action;
import pearladder.routing.api.Event.InstanceStatus;
import pearladder.routing.api.Outcome;
import pearladder.routing.api.TimeSpan;

/** Tests which workers are ejected, and for how long. */
class OutlierDetectorTest {
    /* Guards against workers (once half of a fleet) that report capacity but refuse two requests in five as full. */
    @Test
    void refusalByAWorkerThatReportsCapacityCountsAsFailure() {
        PolicyHarness harness = PolicyHarness.withWorkers(TestSettings.withoutLoadRequests(), 4);
        String home = harness.homeWorker("f");
        TrackedRequest request = harness.request("f", TestSettings.IDEMPOTENT);
        harness.endAttempt(request, 0, Outcome.FULL, InstanceStatus.UNTOLD, TimeSpan.millis(120), 0, 0);
        assertFalse(request.workers.subList(1, request.workers.size()).contains(home));
        harness.endAttempt(request, 1, Outcome.SUCCESS, InstanceStatus.STOOD, TimeSpan.millis(120));
        for (int i = 0; i < 12; i++) {
            TrackedRequest next = harness.request("f", TestSettings.IDEMPOTENT);
            assertTrue(i > 2 || next.workers.get(0).equals(home), "one needless refusal does not exclude the worker");
            for (int attempt = 0; attempt < next.workers.size(); attempt++) {
                boolean sentToHome = next.workers.get(attempt).equals(home);
                harness.endAttempt(
                        next,
                        attempt,
                        sentToHome ? Outcome.FULL : Outcome.SUCCESS,
                        InstanceStatus.STOOD,
                        TimeSpan.millis(120),
                        0,
                        0);
            }
            TrackedRequest other = harness.request("g" + i, TestSettings.IDEMPOTENT);
            harness.endAttempt(other, 0, Outcome.SUCCESS, InstanceStatus.STOOD, TimeSpan.millis(120), 0, 0);
            harness.advance(TimeSpan.millis(100));
        }
        assertFalse(harness.request("f", TestSettings.IDEMPOTENT).workers.contains(home), "the worker is ejected");
    }

    @Test
    void slowWorkerIsEjectedAndItsAttemptsAreCancelled() {
        PolicyHarness harness = PolicyHarness.withWorkers(TestSettings.withoutLoadRequests(), 6);
        String slow = harness.homeWorker("f0");
        for (int i = 0; i < 300; i++) {
            harness.homeWorker("f" + i % 30);
        }
        List<TrackedRequest> stuck = new ArrayList<>();
        for (int i = 0; i < 30; i++) {
            TrackedRequest request = harness.request("f" + i, TestSettings.IDEMPOTENT);
            harness.advance(TimeSpan.millis(50));
            if (request.workers.get(0).equals(slow)) {
                stuck.add(request);
            } else {
                harness.succeed(request, TimeSpan.millis(50));
            }
        }
        harness.advance(TimeSpan.seconds(1));
        assertTrue(harness.actions.stream()
                .anyMatch(a -> a instanceof Action.Log log && log.text().contains(slow)));
        assertTrue(
                stuck.stream().anyMatch(request -> harness.actions.contains(new Action.CancelAttempt(request.id, 0))));
        for (TrackedRequest request : stuck) {
            if (request.outcomes.get(0) == null) {
                harness.endAttempt(request, 0, Outcome.WITHDRAWN, InstanceStatus.UNTOLD, TimeSpan.seconds(1));
            }
        }
        assertNotEquals(slow, harness.homeWorker("f0"));
        harness.advance(TimeSpan.seconds(6));
        Set<String> used = new HashSet<>();
        for (int i = 0; i < 30; i++) {
            used.add(harness.homeWorker("g" + i));
        }
        assertTrue(used.contains(slow), "the worker is used again after the longest ejection");
    }
}
