package pearladder.routing;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;
import pearladder.routing.api.TimeSpan;

/** How many requests a worker takes. */
class AdaptiveConcurrencyLimitTest {
    /* Found on slope-maps-later big-2: each of many routers kept one attempt in flight at a hot function's home. */
    @Test
    void hotFunctionLeavesASlowWorkerThatManyRoutersShare() {
        assertEquals(1, workersReached("hot", TimeSpan.millis(50), 20).size());
        assertTrue(workersReached("hot", TimeSpan.millis(1500), 20).size() > 1);
    }

    /* Found on wire-campus-main-later: light functions were sent away for a load each time a hot one was served. */
    @Test
    void lightFunctionStaysWhereItsInstanceIsLoaded() {
        assertEquals(1, workersReached("light", TimeSpan.millis(600), 8).size());
    }

    private static Set<String> workersReached(String function, TimeSpan took, int requestCount) {
        PolicyHarness harness = PolicyHarness.withWorkers(TestSettings.withRouterCount(60), 4);
        Set<String> used = new HashSet<>();
        for (int i = 0; i < requestCount; i++) {
            TrackedRequest request = harness.request(function, TestSettings.IDEMPOTENT);
            harness.advance(took);
            if (!request.completed) {
                harness.succeed(request, took);
            }
            used.addAll(request.workers);
        }
        return used;
    }

    /* Found on slope-maps (i12d551, i63f7e7): with too many requests on every worker, all responses came late. */
    @Test
    void slowWorkerTakesFewerRequests() {
        assertTrue(requestsTaken(TimeSpan.millis(900)) < requestsTaken(TimeSpan.millis(100)));
    }

    private static int requestsTaken(TimeSpan took) {
        PolicyHarness harness = PolicyHarness.withWorkers(TestSettings.withoutLoadRequests(), 2);
        for (int round = 0; round < 20; round++) {
            List<TrackedRequest> requests = new ArrayList<>();
            for (int i = 0; i < 8; i++) {
                requests.add(harness.request("f" + i, TestSettings.IDEMPOTENT));
            }
            harness.advance(took);
            for (TrackedRequest request : requests) {
                if (!request.completed) {
                    harness.succeed(request, took);
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
