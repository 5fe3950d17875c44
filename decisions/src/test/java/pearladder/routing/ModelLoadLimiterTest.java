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

/** How many loads are started, and where. */
class ModelLoadLimiterTest {
    /* Found on wire-campus-main: refusals as full sent a function on to begin a load at every other worker. */
    @Test
    void refusalsAsFullDoNotStartALoadOnEveryWorker() {
        Rig rig = Rig.withWorkers(Rig.plain(), 10);
        String home = Rig.home(rig, "f");
        Set<String> used = new HashSet<>();
        for (int i = 0; i < 40; i++) {
            Rig.Taken call = rig.call("f", Rig.RETRIABLE);
            if (!call.over && call.workers.get(0).equals(home)) {
                rig.end(call, 0, Outcome.FULL, InstanceStatus.UNTOLD, TimeSpan.millis(1));
            }
            used.addAll(call.workers);
            rig.pass(TimeSpan.millis(20));
        }
        assertTrue(used.size() <= 2, "loads begun at " + used);
    }

    /* Found on slope-maps-later rough-1: each of many routers had a load under way whatever the store did. */
    @Test
    void manyRoutersStartFewerLoadsEach() {
        assertTrue(loadsStarted(60, 3) < loadsStarted(3, 3));
        assertTrue(loadsStarted(3, 3) < loadsStarted(3, 0), "refusals narrow only where loads fill the rooms");
    }

    private static int loadsStarted(int peers, double loads) {
        Rig rig = Rig.withWorkers(Rig.among(peers), 10);
        int begun = 0;
        for (int i = 0; i < 800; i++) {
            Rig.Taken call = rig.call("f" + i % 40, Rig.RETRIABLE);
            for (int leg = 0; leg < call.workers.size(); leg++) {
                rig.end(call, leg, Outcome.FULL, InstanceStatus.UNTOLD, TimeSpan.millis(1), loads);
            }
            begun += call.workers.size();
            rig.pass(TimeSpan.millis(20));
        }
        return begun;
    }

    /* Found on slope-maps (i5d4f4a): functions spread to all workers and pushed each other out of memory. */
    @Test
    void functionsSpreadOnlyWhereMemoryIsLeft() {
        assertTrue(workersReached(500) > 1);
        assertEquals(1, workersReached(30000));
    }

    private static int workersReached(double memoryMb) {
        Rig rig = Rig.withWorkers(Rig.plain(), 4);
        Set<String> used = new HashSet<>();
        for (int i = 0; i < 60; i++) {
            String id = "m" + i;
            Rig.Taken call = new Rig.Taken(id, Rig.RETRIABLE, rig.now.plus(TimeSpan.seconds(4)));
            rig.calls.put(id, call);
            rig.on(new Event.RequestArrived(
                    id, "f", "draw", null, TimeSpan.seconds(4), 2, memoryMb, Rig.QUICK, null, false, false));
            used.addAll(call.workers);
            if (i == 0) {
                rig.settle(call, Rig.QUICK);
            }
        }
        return used.size();
    }
}
