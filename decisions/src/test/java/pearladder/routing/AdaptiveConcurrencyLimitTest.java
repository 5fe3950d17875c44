package pearladder.routing;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;
import pearladder.routing.api.TimeSpan;

/** Tests how many requests the policy sends to a worker. */
class AdaptiveConcurrencyLimitTest {
    /* Guards against a worker that is overloaded because each of many routers keeps one attempt in flight there. */
    @Test
    void hotFunctionSpreadsFromASlowWorkerSharedByManyRouters() {
        assertEquals(1, workersReached("hot", TimeSpan.millis(50), 20).size());
        assertTrue(workersReached("hot", TimeSpan.millis(1500), 20).size() > 1);
    }

    /* Guards against light functions that are loaded elsewhere each time their worker serves a hot function. */
    @Test
    void lightFunctionStaysWhereItsInstanceIsLoaded() {
        assertEquals(1, workersReached("light", TimeSpan.millis(600), 8).size());
    }

    private static Set<String> workersReached(String function, TimeSpan latency, int requestCount) {
        PolicyHarness harness = PolicyHarness.withWorkers(TestSettings.withRouterCount(60), 4);
        Set<String> used = new HashSet<>();
        for (int i = 0; i < requestCount; i++) {
            TrackedRequest request = harness.request(function, TestSettings.IDEMPOTENT);
            harness.advance(latency);
            if (!request.completed) {
                harness.succeed(request, latency);
            }
            used.addAll(request.workers);
        }
        return used;
    }

    /* Guards against late responses of all requests when every worker has too many of them at once. */
    @Test
    void slowWorkerTakesFewerRequests() {
        assertTrue(requestsTaken(TimeSpan.millis(900)) < requestsTaken(TimeSpan.millis(100)));
    }

    private static int requestsTaken(TimeSpan latency) {
        PolicyHarness harness = PolicyHarness.withWorkers(TestSettings.withoutLoadRequests(), 2);
        for (int round = 0; round < 20; round++) {
            List<TrackedRequest> requests = new ArrayList<>();
            for (int i = 0; i < 8; i++) {
                requests.add(harness.request("f" + i, TestSettings.IDEMPOTENT));
            }
            harness.advance(latency);
            for (TrackedRequest request : requests) {
                if (!request.completed) {
                    harness.succeed(request, latency);
                }
            }
        }
        int taken = 0;
        for (int i = 0; i < 100; i++) {
            taken += harness.request("f" + i % 8, TestSettings.IDEMPOTENT).completed ? 0 : 1;
        }
        return taken;
    }
}
