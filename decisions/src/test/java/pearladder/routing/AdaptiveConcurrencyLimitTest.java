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
    /* Found on slope-maps-later big-2: each of many routers kept one call out at a hot function's home. */
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

    private static Set<String> workersReached(String function, TimeSpan took, int calls) {
        Rig rig = Rig.withWorkers(Rig.among(60), 4);
        Set<String> used = new HashSet<>();
        for (int i = 0; i < calls; i++) {
            Rig.Taken call = rig.call(function, Rig.RETRIABLE);
            rig.pass(took);
            if (!call.over) {
                rig.settle(call, took);
            }
            used.addAll(call.workers);
        }
        return used;
    }

    /* Found on slope-maps (i12d551, i63f7e7): with every worker holding too much, all answers came late. */
    @Test
    void slowWorkerTakesFewerRequests() {
        assertTrue(requestsTaken(TimeSpan.millis(900)) < requestsTaken(TimeSpan.millis(100)));
    }

    private static int requestsTaken(TimeSpan took) {
        Rig rig = Rig.withWorkers(Rig.plain(), 2);
        for (int round = 0; round < 20; round++) {
            List<Rig.Taken> calls = new ArrayList<>();
            for (int i = 0; i < 8; i++) {
                calls.add(rig.call("f" + i, Rig.RETRIABLE));
            }
            rig.pass(took);
            for (Rig.Taken call : calls) {
                if (!call.over) {
                    rig.settle(call, took);
                }
            }
        }
        int taken = 0;
        for (int i = 0; i < 100; i++) {
            taken += rig.call("f" + i % 8, Rig.RETRIABLE).over ? 0 : 1;
        }
        return taken;
    }
}
