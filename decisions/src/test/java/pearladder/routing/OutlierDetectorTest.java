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

/** Workers that are ejected. */
class OutlierDetectorTest {
    /* Found on the platform's churn day: half of the fleet refused two calls in five and reported room. */
    @Test
    void refusalByAWorkerThatReportsCapacityCountsAsFailure() {
        Rig rig = Rig.withWorkers(Rig.plain(), 4);
        String home = Rig.home(rig, "f");
        Rig.Taken call = rig.call("f", Rig.RETRIABLE);
        rig.end(call, 0, Outcome.FULL, InstanceStatus.UNTOLD, TimeSpan.millis(120), 0, 0);
        assertFalse(call.workers.subList(1, call.workers.size()).contains(home));
        rig.end(call, 1, Outcome.SUCCESS, InstanceStatus.STOOD, TimeSpan.millis(120));
        for (int i = 0; i < 12; i++) {
            Rig.Taken next = rig.call("f", Rig.RETRIABLE);
            assertTrue(i > 2 || next.workers.get(0).equals(home), "it is not passed over");
            for (int leg = 0; leg < next.workers.size(); leg++) {
                boolean there = next.workers.get(leg).equals(home);
                rig.end(
                        next,
                        leg,
                        there ? Outcome.FULL : Outcome.SUCCESS,
                        InstanceStatus.STOOD,
                        TimeSpan.millis(120),
                        0,
                        0);
            }
            Rig.Taken other = rig.call("g" + i, Rig.RETRIABLE);
            rig.end(other, 0, Outcome.SUCCESS, InstanceStatus.STOOD, TimeSpan.millis(120), 0, 0);
            rig.pass(TimeSpan.millis(100));
        }
        assertFalse(rig.call("f", Rig.RETRIABLE).workers.contains(home), "it is set aside");
    }

    @Test
    void slowWorkerIsEjectedAndItsAttemptsAreCancelled() {
        Rig rig = Rig.withWorkers(Rig.plain(), 6);
        String slow = Rig.home(rig, "f0");
        for (int i = 0; i < 300; i++) {
            Rig.home(rig, "f" + i % 30);
        }
        List<Rig.Taken> stuck = new ArrayList<>();
        for (int i = 0; i < 30; i++) {
            Rig.Taken call = rig.call("f" + i, Rig.RETRIABLE);
            rig.pass(TimeSpan.millis(50));
            if (call.workers.get(0).equals(slow)) {
                stuck.add(call);
            } else {
                rig.settle(call, TimeSpan.millis(50));
            }
        }
        rig.pass(TimeSpan.seconds(1));
        assertTrue(rig.all.stream()
                .anyMatch(a -> a instanceof Action.Log log && log.text().contains(slow)));
        assertTrue(stuck.stream().anyMatch(call -> rig.all.contains(new Action.CancelAttempt(call.id, 0))));
        for (Rig.Taken call : stuck) {
            if (call.outcomes.get(0) == null) {
                rig.end(call, 0, Outcome.WITHDRAWN, InstanceStatus.UNTOLD, TimeSpan.seconds(1));
            }
        }
        assertNotEquals(slow, Rig.home(rig, "f0"));
        rig.pass(TimeSpan.seconds(6));
        Set<String> used = new HashSet<>();
        for (int i = 0; i < 30; i++) {
            used.add(Rig.home(rig, "g" + i));
        }
        assertTrue(used.contains(slow), "it returns after the fixed time and its random part");
    }
}
