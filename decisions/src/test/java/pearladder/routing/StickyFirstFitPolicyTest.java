package pearladder.routing;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.HashSet;
import java.util.Set;
import org.junit.jupiter.api.Test;
import pearladder.routing.api.Action;
import pearladder.routing.api.Event;
import pearladder.routing.api.Event.EndpointState;
import pearladder.routing.api.Event.InstanceStatus;
import pearladder.routing.api.Outcome;
import pearladder.routing.api.TimeSpan;

/** The ordinary path: cached workers, ring order, rejection at once. */
class StickyFirstFitPolicyTest {
    @Test
    void requestsOfAFunctionGoToTheSameWorkerAtEveryRouter() {
        Rig rig = Rig.withWorkers(Rig.plain(), 8);
        Rig other = Rig.withWorkers(Rig.plain(), 8);
        Set<String> used = new HashSet<>();
        for (int i = 0; i < 40; i++) {
            String home = Rig.home(rig, "f" + i);
            used.add(home);
            assertEquals(home, Rig.home(rig, "f" + i));
            assertEquals(home, Rig.home(other, "f" + i));
        }
        assertTrue(used.size() >= 6, "functions spread over the fleet, not over " + used);
    }

    @Test
    void hotFunctionSpreadsToMoreWorkersAndIsThenRejectedAtOnce() {
        Rig rig = Rig.withWorkers(Rig.plain(), 3);
        Rig.home(rig, "f");
        Set<String> used = new HashSet<>();
        Rig.Taken last = null;
        for (int i = 0; i < 200 && (last == null || last.end == null); i++) {
            last = rig.call("f", Rig.RETRIABLE);
            used.addAll(last.workers);
        }
        assertTrue(used.size() > 1);
        Action.Reject dismissed = assertInstanceOf(Action.Reject.class, last.end);
        assertTrue(dismissed.retryAfter().nanos() > 0);
        assertTrue(last.workers.isEmpty());
    }

    @Test
    void workerThatRefusesAsFullIsSkippedForAWhile() {
        Rig rig = Rig.withWorkers(Rig.plain(), 4);
        String home = Rig.home(rig, "f");
        Rig.Taken call = rig.call("f", Rig.RETRIABLE);
        rig.end(call, 0, Outcome.FULL, InstanceStatus.UNTOLD, TimeSpan.millis(2));
        Rig.Taken next = rig.call("f", Rig.RETRIABLE);
        assertTrue(!call.workers.subList(1, call.workers.size()).contains(home) && !next.workers.contains(home));
        rig.pass(TimeSpan.seconds(1));
        assertEquals(home, rig.call("f", Rig.RETRIABLE).workers.get(0));
    }

    @Test
    void drainingWorkerGetsNoNewRequests() {
        Rig rig = Rig.withWorkers(Rig.plain(), 3);
        String home = Rig.home(rig, "f");
        rig.stand(home, EndpointState.DRAINING, null);
        assertNotEquals(home, rig.call("f", Rig.RETRIABLE).workers.get(0));
        rig.stand(home, EndpointState.IN_SERVICE, null);
        assertEquals(home, Rig.home(rig, "g" + functionWithHomeAt(rig, home)));
    }

    private static int functionWithHomeAt(Rig rig, String worker) {
        for (int i = 0; i < 200; i++) {
            if (Rig.home(rig, "g" + i).equals(worker)) {
                return i;
            }
        }
        throw new AssertionError("no function has its home at " + worker);
    }

    @Test
    void forgottenFunctionReturnsToItsHomeWorker() {
        Rig rig = Rig.withWorkers(Rig.plain(), 8);
        String home = Rig.home(rig, "f");
        rig.pass(TimeSpan.seconds(200));
        assertEquals(home, Rig.home(rig, "f"));
        rig.on(new Event.LoadCompleted(home, "f", Outcome.SUCCESS, 1, Rig.QUICK));
        rig.assertAllAnswered();
    }

    @Test
    void attemptThatTimesOutAtTheDeadlineIsAnsweredAtOnce() {
        Rig rig = Rig.withWorkers(Rig.plain(), 3);
        Rig.Taken call = rig.call("f", Rig.BINDING);
        rig.pass(TimeSpan.millis(3992));
        rig.on(new Event.AttemptEnded(
                "nobody", 0, "w0", Outcome.ERROR, Rig.QUICK, false, InstanceStatus.UNTOLD, 0, null));
        rig.end(call, 0, Outcome.TIMED_OUT, InstanceStatus.UNTOLD, TimeSpan.millis(3992));
        assertInstanceOf(Action.Fail.class, call.end);
        rig.on(new Event.ClientDisconnected(call.id));
    }
}
