package pearladder.routing;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.HashSet;
import java.util.Set;
import org.junit.jupiter.api.Test;
import pearladder.routing.api.Event;
import pearladder.routing.api.Event.InstanceStatus;
import pearladder.routing.api.Outcome;
import pearladder.routing.api.TimeSpan;

/** Tests how many loads are started, and at which workers. */
class ModelLoadLimiterTest {
    /* Guards against refusals as full that send a function on to start a load at every other worker. */
    @Test
    void refusalsAsFullDoNotStartALoadOnEveryWorker() {
        PolicyHarness harness = PolicyHarness.withWorkers(TestSettings.withoutLoadRequests(), 10);
        String home = harness.homeWorker("f");
        Set<String> used = new HashSet<>();
        for (int i = 0; i < 40; i++) {
            TrackedRequest request = harness.request("f", TestSettings.IDEMPOTENT);
            if (!request.completed && request.workers.get(0).equals(home)) {
                harness.endAttempt(request, 0, Outcome.FULL, InstanceStatus.UNTOLD, TimeSpan.millis(1));
            }
            used.addAll(request.workers);
            harness.advance(TimeSpan.millis(20));
        }
        assertTrue(used.size() <= 2, "loads started at " + used);
    }

    /* Guards against a load in progress at each of many routers whatever the state of the model store. */
    @Test
    void manyRoutersStartFewerLoadsEach() {
        assertTrue(loadsStarted(60, 3) < loadsStarted(3, 3));
        assertTrue(loadsStarted(3, 3) < loadsStarted(3, 0), "refusals narrow only where loads fill the queues");
    }

    private static int loadsStarted(int routerCount, double reportedLoads) {
        PolicyHarness harness = PolicyHarness.withWorkers(TestSettings.withRouterCount(routerCount), 10);
        int started = 0;
        for (int i = 0; i < 800; i++) {
            TrackedRequest request = harness.request("f" + i % 40, TestSettings.IDEMPOTENT);
            for (int attempt = 0; attempt < request.workers.size(); attempt++) {
                harness.endAttempt(
                        request, attempt, Outcome.FULL, InstanceStatus.UNTOLD, TimeSpan.millis(1), reportedLoads);
            }
            started += request.workers.size();
            harness.advance(TimeSpan.millis(20));
        }
        return started;
    }

    /* Guards against functions that spread to all workers and evict each other from memory. */
    @Test
    void functionsSpreadOnlyWhereMemoryIsLeft() {
        assertTrue(workersReached(500) > 1);
        assertEquals(1, workersReached(30000));
    }

    private static int workersReached(double memoryMb) {
        PolicyHarness harness = PolicyHarness.withWorkers(TestSettings.withoutLoadRequests(), 4);
        Set<String> used = new HashSet<>();
        for (int i = 0; i < 60; i++) {
            String id = "m" + i;
            TrackedRequest request =
                    new TrackedRequest(id, TestSettings.IDEMPOTENT, harness.now.plus(TimeSpan.seconds(4)));
            harness.request(
                    request,
                    new Event.RequestArrived(
                            id,
                            "f",
                            "draw",
                            null,
                            TimeSpan.seconds(4),
                            2,
                            memoryMb,
                            PolicyHarness.SHORT_TIME,
                            null,
                            false,
                            false));
            used.addAll(request.workers);
            if (i == 0) {
                harness.succeed(request, PolicyHarness.SHORT_TIME);
            }
        }
        return used.size();
    }
}
