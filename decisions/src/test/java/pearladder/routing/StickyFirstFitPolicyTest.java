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

/** Tests the main path: cached workers, ring order, immediate rejection. */
class StickyFirstFitPolicyTest {
    @Test
    void requestsOfAFunctionGoToTheSameWorkerAtEveryRouter() {
        PolicyHarness harness = PolicyHarness.withWorkers(TestSettings.withoutLoadRequests(), 8);
        PolicyHarness other = PolicyHarness.withWorkers(TestSettings.withoutLoadRequests(), 8);
        Set<String> used = new HashSet<>();
        for (int i = 0; i < 40; i++) {
            String home = harness.homeWorker("f" + i);
            used.add(home);
            assertEquals(home, harness.homeWorker("f" + i));
            assertEquals(home, other.homeWorker("f" + i));
        }
        assertTrue(used.size() >= 6, "40 functions reached only " + used);
    }

    @Test
    void hotFunctionSpreadsToMoreWorkersAndIsThenRejectedImmediately() {
        PolicyHarness harness = PolicyHarness.withWorkers(TestSettings.withoutLoadRequests(), 3);
        harness.homeWorker("f");
        Set<String> used = new HashSet<>();
        TrackedRequest last = null;
        for (int i = 0; i < 200 && (last == null || last.finalAction == null); i++) {
            last = harness.request("f", TestSettings.IDEMPOTENT);
            used.addAll(last.workers);
        }
        assertTrue(used.size() > 1);
        Action.Reject rejection = assertInstanceOf(Action.Reject.class, last.finalAction);
        assertTrue(rejection.retryAfter().nanos() > 0);
        assertTrue(last.workers.isEmpty());
    }

    /** Guards against state and time that grow with the functions that clients name and no worker knows. */
    @Test
    void functionsThatNoWorkerServesAreForgottenBeforeThoseThatOneServes() {
        PolicyHarness harness = PolicyHarness.withWorkers(TestSettings.withoutLoadRequests(), 4);
        String home = harness.homeWorker("f");
        for (int i = 0; i < 3000; i++) {
            TrackedRequest unknown = harness.request("unknown" + i, TestSettings.IDEMPOTENT);
            for (int attempt = 0; attempt < unknown.outcomes.size(); attempt++) {
                harness.endAttempt(unknown, attempt, Outcome.ABSENT, InstanceStatus.UNTOLD, TimeSpan.millis(1));
            }
            harness.advance(TimeSpan.millis(2));
        }
        int known = harness.policy.snapshot(harness.now).functions().size();
        assertTrue(known > 100 && known < 1000, known + " functions known");
        assertEquals(home, harness.homeWorker("f"));
    }

    @Test
    void workerThatRefusesAsFullIsSkippedForAWhile() {
        PolicyHarness harness = PolicyHarness.withWorkers(TestSettings.withoutLoadRequests(), 4);
        String home = harness.homeWorker("f");
        TrackedRequest request = harness.request("f", TestSettings.IDEMPOTENT);
        harness.endAttempt(request, 0, Outcome.FULL, InstanceStatus.UNTOLD, TimeSpan.millis(2));
        TrackedRequest next = harness.request("f", TestSettings.IDEMPOTENT);
        assertTrue(!request.workers.subList(1, request.workers.size()).contains(home) && !next.workers.contains(home));
        harness.advance(TimeSpan.seconds(1));
        assertEquals(home, harness.request("f", TestSettings.IDEMPOTENT).workers.get(0));
    }

    @Test
    void drainingWorkerGetsNoNewRequests() {
        PolicyHarness harness = PolicyHarness.withWorkers(TestSettings.withoutLoadRequests(), 3);
        String home = harness.homeWorker("f");
        harness.setEndpointState(home, EndpointState.DRAINING, null);
        assertNotEquals(
                home, harness.request("f", TestSettings.IDEMPOTENT).workers.get(0));
        harness.setEndpointState(home, EndpointState.IN_SERVICE, null);
        assertEquals(home, harness.homeWorker("g" + functionWithHomeAt(harness, home)));
    }

    private static int functionWithHomeAt(PolicyHarness harness, String worker) {
        for (int i = 0; i < 200; i++) {
            if (harness.homeWorker("g" + i).equals(worker)) {
                return i;
            }
        }
        throw new AssertionError("no function has its home at " + worker);
    }

    @Test
    void removedFunctionReturnsToItsHomeWorker() {
        PolicyHarness harness = PolicyHarness.withWorkers(TestSettings.withoutLoadRequests(), 8);
        String home = harness.homeWorker("f");
        harness.advance(TimeSpan.seconds(200));
        assertEquals(home, harness.homeWorker("f"));
        harness.on(new Event.LoadCompleted(home, "f", Outcome.SUCCESS, 1, PolicyHarness.SHORT_TIME));
        harness.assertAllAnswered();
    }

    @Test
    void attemptThatTimesOutAtTheDeadlineIsAnsweredAtOnce() {
        PolicyHarness harness = PolicyHarness.withWorkers(TestSettings.withoutLoadRequests(), 3);
        TrackedRequest request = harness.request("f", TestSettings.NON_IDEMPOTENT);
        harness.advance(TimeSpan.millis(3992));
        harness.on(new Event.AttemptEnded(
                "nobody", 0, "w0", Outcome.ERROR, PolicyHarness.SHORT_TIME, false, InstanceStatus.UNTOLD, 0, null));
        harness.endAttempt(request, 0, Outcome.TIMED_OUT, InstanceStatus.UNTOLD, TimeSpan.millis(3992));
        assertInstanceOf(Action.Fail.class, request.finalAction);
        harness.on(new Event.ClientDisconnected(request.id));
    }
}
