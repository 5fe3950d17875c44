package pearladder.delivery;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import pearladder.delivery.DeliveryRules.RequestState;
import pearladder.routing.api.MonotonicTime;
import pearladder.routing.api.RoutingSettings.Idempotency;

/** Cases of each delivery rule. */
class DeliveryRulesTest {
    private static final MonotonicTime DEADLINE = new MonotonicTime(1000);

    private final DeliveryRules rules = new DeliveryRules(3);

    private static RequestState request(boolean completed, int attempts, boolean executed, Idempotency idempotency) {
        return new RequestState(completed, DEADLINE, attempts, executed, idempotency);
    }

    @ParameterizedTest
    @CsvSource({
        "false, 0, false, BINDING, 999, ALLOWED",
        "false, 2, false, BINDING, 999, ALLOWED",
        "false, 1, true, BINDING, 999, MAY_HAVE_BEEN_EXECUTED",
        "false, 1, true, FINGERPRINTED, 999, ALLOWED",
        "false, 2, true, RETRIABLE, 999, ALLOWED",
        "false, 3, false, RETRIABLE, 999, TOO_MANY_ATTEMPTS",
        "false, 0, false, RETRIABLE, 1000, DEADLINE_PASSED",
        "true, 0, false, RETRIABLE, 1, REQUEST_COMPLETED"
    })
    void attemptIsAllowed(
            boolean completed, int attempts, boolean executed, Idempotency idempotency, long now, Verdict expected) {
        RequestState request = request(completed, attempts, executed, idempotency);
        assertEquals(expected, rules.checkAttempt(request, new MonotonicTime(now)));
    }

    @ParameterizedTest
    @CsvSource({
        "false, , 999, ALLOWED",
        "false, , 1000, DEADLINE_PASSED",
        "true, , 999, REQUEST_COMPLETED",
        "false, 500, 499, ALLOWED",
        "false, 500, 500, WORKER_NOT_CONFIRMED",
        "false, 2000, 1000, DEADLINE_PASSED"
    })
    void firstByteIsWrittenOnlyForAnOpenRequestBeforeItsDeadlineToAWorkerKnownToBeInService(
            boolean completed, Long sendBefore, long now, Verdict expected) {
        RequestState request = request(completed, 1, true, Idempotency.BINDING);
        assertEquals(expected, rules.checkWrite(request, time(sendBefore), new MonotonicTime(now)));
    }

    @Test
    void requestIsAnsweredOnceAndAlsoAfterItsDeadline() {
        assertEquals(Verdict.ALLOWED, rules.checkAnswer(request(false, 1, true, Idempotency.BINDING)));
        assertEquals(Verdict.REQUEST_COMPLETED, rules.checkAnswer(request(true, 1, true, Idempotency.BINDING)));
    }

    @Test
    void connectionWithUnansweredRequestsIsNotClosed() {
        assertEquals(Verdict.ALLOWED, rules.checkClose(0));
        assertEquals(Verdict.UNANSWERED_REQUESTS, rules.checkClose(1));
    }

    @ParameterizedTest
    @CsvSource({
        "true, , 1, ALLOWED",
        "false, , 1, WORKER_NOT_IN_SERVICE",
        "true, 500, 499, ALLOWED",
        "true, 500, 500, WORKER_NOT_CONFIRMED"
    })
    void loadRequestsGoToWorkersKnownToBeInServiceOnly(boolean inService, Long sendBefore, long now, Verdict expected) {
        assertEquals(expected, rules.checkLoadRequest(inService, time(sendBefore), new MonotonicTime(now)));
    }

    private static MonotonicTime time(Long nanos) {
        return nanos == null ? null : new MonotonicTime(nanos);
    }
}
