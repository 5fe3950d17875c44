package pearladder.cli.soak;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Checks each rule of {@link SoakInvariants} against scripted requests that keep and violate it. */
class SoakInvariantsTest {
    private static final String ROUTER = "router-0";
    private static final long BUDGET_MILLIS = 400;
    private static final byte[] BODY = {1, 2};
    private static final byte[] OTHER_BODY = {3};

    private final ToldClock clock = new ToldClock();
    private final SoakInvariants.RouterEnds ends = new SoakInvariants.RouterEnds();
    private final SoakInvariants invariants = new SoakInvariants(clock, ends, new MachineLateness());
    private long now = TimeUnit.HOURS.toNanos(1);
    private SoakRequest request;

    @BeforeEach
    void sendRequest() {
        request = newRequest(SoakRequest.RequestClass.PAYMENT);
    }

    private SoakRequest newRequest(SoakRequest.RequestClass requestClass) {
        return new SoakRequest("1", requestClass, BUDGET_MILLIS, BODY, ROUTER, 1, () -> now);
    }

    private void advanceClock(long millis) {
        now += TimeUnit.MILLISECONDS.toNanos(millis);
    }

    private void attempt(long drainingSince, long limitMillis, boolean executed) {
        request.onAttempt(new SoakRequest.Attempt(
                new SoakRequest.Arrival("worker-0", now, drainingSince),
                limitMillis,
                ClientWire.key("1"),
                BODY,
                executed));
    }

    private void attempt() {
        attempt(0, BUDGET_MILLIS, true);
    }

    private List<String> violations() {
        return invariants.check(List.of(request), List.of());
    }

    private void assertViolation(String text) {
        List<String> violations = violations();
        assertEquals(1, violations.size(), violations::toString);
        assertTrue(violations.get(0).contains(text), violations::toString);
    }

    @Test
    void successInTimeIsNoViolation() {
        attempt();
        advanceClock(BUDGET_MILLIS);
        request.onAnswer(true, BODY);
        assertEquals(List.of(), violations());
    }

    @Test
    void missingAnswer() {
        assertViolation("has no answer");
    }

    @Test
    void secondAnswer() {
        attempt();
        request.onAnswer(true, BODY);
        request.onAnswer(true, BODY);
        assertViolation("has 2 answers");
    }

    @Test
    void lateAnswer() {
        attempt();
        advanceClock(BUDGET_MILLIS + 520);
        request.onAnswer(false, null);
        assertViolation("was answered after 920 ms");
    }

    @Test
    void successWithoutExecution() {
        request.onAnswer(true, BODY);
        assertViolation("succeeded without an execution by a worker, or with another body than was sent");
    }

    @Test
    void successWithAnotherBody() {
        attempt();
        request.onAnswer(true, OTHER_BODY);
        assertViolation("succeeded without an execution by a worker, or with another body than was sent");
    }

    @Test
    void secondExecution() {
        attempt();
        attempt();
        request.onAnswer(true, BODY);
        assertViolation("ran 2 times");
    }

    @Test
    void secondExecutionOfAnIdempotentRequestIsAllowed() {
        request = newRequest(SoakRequest.RequestClass.DRAFT);
        attempt();
        attempt();
        request.onAnswer(true, BODY);
        assertEquals(List.of(), violations());
    }

    @Test
    void attemptAfterItsClientLeft() {
        request.onLeft();
        advanceClock(130);
        attempt(0, 100, true);
        assertViolation("reached a worker 130 ms after its client had left");
    }

    @Test
    void fewLateAttemptsOfAPausedRouterAreTolerated() {
        ends.onPaused(ROUTER, now, now + TimeUnit.MILLISECONDS.toNanos(100));
        request.onLeft();
        advanceClock(130);
        attempt(0, 100, true);
        assertViolation("reached a worker 130 ms after its client had left");
        List<SoakRequest> requests = new ArrayList<>(List.of(request));
        for (int i = 0; i < 500; i++) {
            SoakRequest other = newRequest(SoakRequest.RequestClass.DRAFT);
            other.onAnswer(false, null);
            requests.add(other);
        }
        assertEquals(List.of(), invariants.check(requests, List.of()), "one late attempt in 501 requests");
        assertEquals(1, invariants.toleratedViolations());
    }

    @Test
    void limitBeyondTheBudget() {
        advanceClock(300);
        attempt();
        request.onAnswer(true, BODY);
        assertViolation("sent a limit of 400 ms at 300 ms");
    }

    @Test
    void changedRequest() {
        request.onAttempt(new SoakRequest.Attempt(
                new SoakRequest.Arrival("worker-0", now, 0), BUDGET_MILLIS, "another key", BODY, true));
        request.onAnswer(true, BODY);
        assertViolation("reached a worker with another key or body than was sent");
    }

    @Test
    void connectionLostWithAnOpenRequest() {
        advanceClock(10);
        request.onConnectionLost();
        assertViolation("lost its connection after 10 ms");
    }

    @Test
    void requestSentWhileAStoppedRouterClosesIsNoViolation() {
        ends.onTerminated(ROUTER, 1);
        advanceClock(40);
        request.onConnectionLost();
        assertEquals(List.of(), violations());
    }

    @Test
    void openRequestLostByAStoppedRouter() {
        ends.onTerminated(ROUTER, 1);
        advanceClock(70);
        request.onConnectionLost();
        assertViolation("lost its connection after 70 ms");
    }

    @Test
    void killedRouterNeedNotAnswer() {
        ends.onKilled(ROUTER, 1);
        assertEquals(List.of(), violations());
    }

    @Test
    void attemptToADrainingWorker() {
        long drainingSince = now;
        advanceClock(1100);
        request = newRequest(SoakRequest.RequestClass.DRAFT);
        attempt(drainingSince, BUDGET_MILLIS, false);
        request.onAnswer(false, null);
        assertViolation("reached worker-0, draining for 1100 ms");
    }

    @Test
    void attemptWithinTheGrace() {
        long drainingSince = now;
        advanceClock(1000);
        request = newRequest(SoakRequest.RequestClass.DRAFT);
        attempt(drainingSince, BUDGET_MILLIS, false);
        request.onAnswer(false, null);
        assertEquals(List.of(), violations());
    }

    @Test
    void loadRequestToADrainingWorkerInAnOutage() {
        long outageAt = now;
        clock.onOutage(outageAt, outageAt + TimeUnit.SECONDS.toNanos(20));
        advanceClock(100);
        long drainingSince = now;
        advanceClock(7900);
        SoakRequest.Arrival allowed = new SoakRequest.Arrival("worker-0", now, drainingSince);
        assertEquals(List.of(), invariants.check(List.of(), List.of(allowed)), "within 7 s and the drain time");
        advanceClock(100);
        SoakRequest.Arrival late = new SoakRequest.Arrival("worker-0", now, drainingSince);
        assertEquals(1, invariants.check(List.of(), List.of(late)).size());
    }

    @Test
    void drainDuringAnOutageTakesEffectAtOnce() {
        clock.onOutage(now, now + TimeUnit.SECONDS.toNanos(20));
        advanceClock(10_000);
        long drainingSince = now;
        advanceClock(1100);
        SoakRequest.Arrival late = new SoakRequest.Arrival("worker-0", now, drainingSince);
        assertEquals(1, invariants.check(List.of(), List.of(late)).size());
    }
}
