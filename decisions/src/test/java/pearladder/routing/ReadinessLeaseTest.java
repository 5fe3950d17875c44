package pearladder.routing;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.function.Predicate;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import pearladder.routing.api.Action;
import pearladder.routing.api.Event;
import pearladder.routing.api.MonotonicTime;
import pearladder.routing.api.Outcome;
import pearladder.routing.api.RoutingSettings;
import pearladder.routing.api.TimeSpan;

/** Tests that workers get new work only under a lease while discovery does not confirm the endpoint list. */
class ReadinessLeaseTest {
    private static final TimeSpan OUT_OF_DATE = TimeSpan.seconds(3);
    private static final TimeSpan PING_TIME = TimeSpan.millis(2);
    private static final int WORKERS = 3;

    private final RoutingSettings settings = TestSettings.withoutLoadRequests();
    private final PolicyHarness harness = PolicyHarness.withWorkers(settings, WORKERS);

    /** The number of health checks that {@link #completeNewChecks} has completed. */
    private int completedChecks;

    private TrackedRequest request() {
        return harness.request("f", TestSettings.IDEMPOTENT);
    }

    /** Confirms the endpoint list once and lets it get out of date. */
    private void makeListOutOfDate() {
        harness.on(new Event.EndpointListConfirmed(harness.now));
        harness.advance(OUT_OF_DATE);
    }

    private List<String> checkedWorkers() {
        return harness.actions.stream()
                .filter(Action.CheckHealth.class::isInstance)
                .map(action -> ((Action.CheckHealth) action).worker())
                .toList();
    }

    private String lastCheckedWorker() {
        List<String> checked = checkedWorkers();
        return checked.get(checked.size() - 1);
    }

    private void completeCheck(String worker, Outcome outcome) {
        harness.advance(PING_TIME);
        harness.on(new Event.HealthCheckCompleted(worker, outcome, PING_TIME, null));
    }

    private Action.SendAttempt lastSent() {
        List<Action> sent = harness.actions.stream()
                .filter(Action.SendAttempt.class::isInstance)
                .toList();
        return (Action.SendAttempt) sent.get(sent.size() - 1);
    }

    @Test
    void listWithoutConfirmationsCountsAsCurrent() {
        harness.advance(TimeSpan.seconds(60));
        assertEquals(1, request().workers.size());
        assertNull(lastSent().sendBefore());
    }

    @Test
    void recentlyConfirmedListNeedsNoHealthChecks() {
        for (int i = 0; i < 20; i++) {
            harness.on(new Event.EndpointListConfirmed(harness.now));
            TrackedRequest request = request();
            assertEquals(1, request.workers.size());
            harness.advance(TimeSpan.seconds(1));
            harness.succeed(request, TimeSpan.seconds(1));
        }
        assertEquals(List.of(), checkedWorkers());
    }

    @Test
    void requestWaitsForItsWorkerToProveThatItIsReady() {
        makeListOutOfDate();
        TrackedRequest request = request();
        assertEquals(List.of(), request.workers);
        String worker = lastCheckedWorker();
        MonotonicTime checkSentAt = harness.now;
        completeCheck(worker, Outcome.SUCCESS);
        assertEquals(List.of(worker), request.workers);
        assertEquals(
                checkSentAt.plus(settings.responseGrace().drainGrace()),
                lastSent().sendBefore());
    }

    @Test
    void oneCheckServesAllRequestsThatWait() {
        makeListOutOfDate();
        List<TrackedRequest> waiting = List.of(request(), request());
        assertEquals(1, checkedWorkers().size());
        completeCheck(lastCheckedWorker(), Outcome.SUCCESS);
        waiting.forEach(request -> assertEquals(1, request.workers.size()));
    }

    @ParameterizedTest
    @EnumSource(
            value = Outcome.class,
            names = {"ERROR", "FULL", "UNREACHABLE", "BROKEN", "TIMED_OUT"})
    void workerWithAFailedHealthCheckIsSkipped(Outcome outcome) {
        makeListOutOfDate();
        TrackedRequest request = request();
        String unready = lastCheckedWorker();
        completeCheck(unready, outcome);
        String other = lastCheckedWorker();
        assertFalse(other.equals(unready));
        completeCheck(other, Outcome.SUCCESS);
        assertEquals(List.of(other), request.workers);
    }

    @Test
    void requestWaitsForSilentWorkersForABoundedTime() {
        makeListOutOfDate();
        TrackedRequest request = request();
        harness.advance(settings.attemptLimits().connectTimeout().times(WORKERS + 1));
        assertTrue(request.completed, "rejected well before its deadline");
        assertEquals(List.of(), request.workers);
        assertEquals(WORKERS, checkedWorkers().stream().distinct().count());
    }

    @Test
    void executedRequestsRenewTheLease() {
        makeListOutOfDate();
        TrackedRequest first = request();
        completeCheck(lastCheckedWorker(), Outcome.SUCCESS);
        for (int i = 0; i < 20; i++) {
            harness.advance(PolicyHarness.SHORT_TIME);
            TrackedRequest next = request();
            assertEquals(first.workers, next.workers);
            harness.advance(PolicyHarness.SHORT_TIME);
            harness.succeed(next, PolicyHarness.SHORT_TIME);
        }
        assertEquals(1, checkedWorkers().size());
    }

    @Test
    void refusalEndsTheLease() {
        makeListOutOfDate();
        TrackedRequest refused = request();
        completeCheck(lastCheckedWorker(), Outcome.SUCCESS);
        String worker = refused.workers.get(0);
        harness.endAttempt(refused, 0, Outcome.FULL, Event.InstanceStatus.UNTOLD, PING_TIME);
        harness.advance(TimeSpan.millis(300));
        int before = checkedWorkers().size();
        assertFalse(request().workers.contains(worker));
        assertTrue(checkedWorkers().size() > before);
    }

    @Test
    void workerThatIsReadyAgainIsAssumedToHaveRestarted() {
        for (int i = 0; i < 400; i++) {
            harness.homeWorker("f" + i % 40);
        }
        makeListOutOfDate();
        request();
        String worker = lastCheckedWorker();
        completeCheck(worker, Outcome.ERROR);
        completeCheck(lastCheckedWorker(), Outcome.SUCCESS);
        harness.on(new Event.HealthCheckCompleted(worker, Outcome.SUCCESS, PING_TIME, null));
        assertTrue(isAssumedToHaveRestarted(worker), harness.actions::toString);
    }

    private boolean isAssumedToHaveRestarted(String worker) {
        String line = worker + " is ready again: taken for restarted";
        return harness.actions.stream()
                .anyMatch(
                        action -> action instanceof Action.Log log && log.text().equals(line));
    }

    @Test
    void workerThatDiscoveryListedSinceIsNotAssumedToHaveRestartedInTheNextOutage() {
        makeListOutOfDate();
        request();
        String worker = lastCheckedWorker();
        completeCheck(worker, Outcome.ERROR);
        makeListOutOfDate();
        harness.on(new Event.HealthCheckCompleted(worker, Outcome.SUCCESS, PING_TIME, null));
        assertFalse(isAssumedToHaveRestarted(worker));
    }

    @Test
    void confirmationEndsTheChecks() {
        makeListOutOfDate();
        request();
        String unready = lastCheckedWorker();
        completeCheck(unready, Outcome.ERROR);
        completeCheck(lastCheckedWorker(), Outcome.SUCCESS);
        harness.on(new Event.EndpointListConfirmed(harness.now));
        int before = checkedWorkers().size();
        List<String> used = IntStream.range(0, 20)
                .mapToObj(i -> harness.homeWorker("g" + i))
                .toList();
        assertTrue(used.contains(unready), used::toString);
        assertEquals(before, checkedWorkers().size());
    }

    @Test
    void listIsOutOfDateBeforeItsFirstConfirmation() {
        harness.on(new Event.EndpointListUnconfirmed());
        TrackedRequest request = request();
        assertEquals(List.of(), request.workers);
        completeCheck(lastCheckedWorker(), Outcome.SUCCESS);
        assertEquals(1, request.workers.size());
    }

    @Test
    void requestWhoseClientLeavesWhileItWaitsIsNotSent() {
        makeListOutOfDate();
        TrackedRequest request = request();
        request.completed = true;
        harness.on(new Event.ClientDisconnected(request.id));
        completeCheck(lastCheckedWorker(), Outcome.SUCCESS);
        harness.advance(TimeSpan.seconds(5));
        assertEquals(List.of(), request.workers);
    }

    /**
     * Sends requests of one function for a span and returns how many reach one worker. That worker refuses the requests
     * whose index matches; all health checks succeed at once.
     */
    private int sendsTo(String refusing, TimeSpan span, Predicate<Integer> refuses) {
        int sends = 0;
        MonotonicTime until = harness.now.plus(span);
        while (harness.now.isBefore(until)) {
            TrackedRequest request = request();
            completeNewChecks();
            int attempts = request.workers.size();
            if (attempts > 0 && request.workers.get(attempts - 1).equals(refusing) && refuses.test(sends++)) {
                harness.endAttempt(request, attempts - 1, Outcome.FULL, Event.InstanceStatus.UNTOLD, PING_TIME);
                completeNewChecks();
            }
            harness.advance(PolicyHarness.SHORT_TIME);
            completeNewChecks();
            if (!request.completed && !request.workers.isEmpty()) {
                harness.succeed(request, PolicyHarness.SHORT_TIME);
            }
        }
        return sends;
    }

    private void completeNewChecks() {
        while (completedChecks < checkedWorkers().size()) {
            completeCheck(checkedWorkers().get(completedChecks++), Outcome.SUCCESS);
        }
    }

    @Test
    void workerThatRefusesAllWorkIsRetriedRarelyDespiteSuccessfulHealthChecks() {
        String home = harness.homeWorker("f");
        makeListOutOfDate();
        int soon = sendsTo(home, TimeSpan.seconds(8), sent -> true);
        int later = sendsTo(home, TimeSpan.seconds(14), sent -> true);
        assertTrue(soon >= 2 && soon <= 5, soon + " sends in 8 s");
        assertTrue(later <= 2, later + " sends in the next 14 s");
    }

    @Test
    void workerThatWasTemporarilyFullIsUsedAgain() {
        String home = harness.homeWorker("f");
        makeListOutOfDate();
        sendsTo(home, TimeSpan.seconds(3), sent -> sent < 3);
        int again = sendsTo(home, TimeSpan.seconds(5), sent -> false);
        assertTrue(again >= 20, again + " sends in 5 s");
        int oftenFull = sendsTo(home, TimeSpan.seconds(10), sent -> sent % 3 == 0);
        assertTrue(oftenFull >= 20, oftenFull + " sends in 10 s");
    }

    @Test
    void refusalWhileTheListIsCurrentDoesNotExcludeTheWorker() {
        String home = harness.homeWorker("f");
        harness.on(new Event.EndpointListConfirmed(harness.now));
        TrackedRequest refused = request();
        harness.endAttempt(refused, 0, Outcome.FULL, Event.InstanceStatus.UNTOLD, PING_TIME);
        harness.advance(TimeSpan.seconds(1));
        harness.on(new Event.EndpointListConfirmed(harness.now));
        assertEquals(home, harness.homeWorker("f"));
    }
}
