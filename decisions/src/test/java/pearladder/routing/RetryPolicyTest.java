package pearladder.routing;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertNotEquals;

import org.junit.jupiter.api.Test;
import pearladder.routing.api.Action;
import pearladder.routing.api.Event.InstanceStatus;
import pearladder.routing.api.Outcome;
import pearladder.routing.api.TimeSpan;

/** Tests which requests are retried, and at which workers. */
class RetryPolicyTest {
    @Test
    void nonIdempotentRequestThatMayHaveExecutedFails() {
        PolicyHarness harness = PolicyHarness.withWorkers(TestSettings.withoutLoadRequests(), 4);
        TrackedRequest failed = harness.request("f", TestSettings.NON_IDEMPOTENT);
        harness.endAttempt(failed, 0, Outcome.ERROR, InstanceStatus.UNTOLD, PolicyHarness.SHORT_TIME);
        assertInstanceOf(Action.Fail.class, failed.finalAction);
        TrackedRequest refused = harness.request("g", TestSettings.NON_IDEMPOTENT);
        harness.endAttempt(refused, 0, Outcome.UNREACHABLE, InstanceStatus.UNTOLD, PolicyHarness.SHORT_TIME);
        assertEquals(2, refused.workers.size());
        assertNotEquals(refused.workers.get(0), refused.workers.get(1));
    }

    @Test
    void requestWithIdempotencyKeyIsRetriedWithinItsDeduplicationScope() {
        PolicyHarness harness = PolicyHarness.withWorkers(TestSettings.withoutLoadRequests(), 6);
        TrackedRequest request = harness.request("f", TestSettings.IDEMPOTENT_BY_KEY_IN_ZONE);
        harness.endAttempt(request, 0, Outcome.BROKEN, InstanceStatus.UNTOLD, PolicyHarness.SHORT_TIME);
        assertEquals(2, request.workers.size());
        harness.endAttempt(request, 1, Outcome.BROKEN, InstanceStatus.UNTOLD, PolicyHarness.SHORT_TIME);
        harness.endAttempt(request, 2, Outcome.BROKEN, InstanceStatus.UNTOLD, PolicyHarness.SHORT_TIME);
        assertInstanceOf(Action.Fail.class, request.finalAction);
    }

    /** Guards against a retry that arrives after the deduplication window, as its connection is established late. */
    @Test
    void requestWithIdempotencyKeyIsRetriedOnlyWithinItsDeduplicationWindow() {
        PolicyHarness harness = PolicyHarness.withWorkers(TestSettings.withoutLoadRequests(), 6);
        TrackedRequest early = harness.request("f", TestSettings.IDEMPOTENT_BY_KEY_BRIEFLY);
        harness.advance(TimeSpan.millis(1200));
        harness.endAttempt(early, 0, Outcome.BROKEN, InstanceStatus.UNTOLD, TimeSpan.millis(1200));
        assertEquals(2, early.workers.size());
        TrackedRequest late = harness.request("g", TestSettings.IDEMPOTENT_BY_KEY_BRIEFLY);
        harness.advance(TimeSpan.millis(1300));
        harness.endAttempt(late, 0, Outcome.BROKEN, InstanceStatus.UNTOLD, TimeSpan.millis(1300));
        assertEquals(1, late.workers.size());
        assertInstanceOf(Action.Reject.class, late.finalAction);
    }
}
