package pearladder.routing;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertNotEquals;

import org.junit.jupiter.api.Test;
import pearladder.routing.api.Action;
import pearladder.routing.api.Event.InstanceStatus;
import pearladder.routing.api.Outcome;
import pearladder.routing.api.TimeSpan;

/** What may be sent again, and where. */
class RetryPolicyTest {
    @Test
    void nonIdempotentRequestThatMayHaveExecutedFails() {
        Rig rig = Rig.withWorkers(Rig.plain(), 4);
        Rig.Taken failed = rig.call("f", Rig.BINDING);
        rig.end(failed, 0, Outcome.ERROR, InstanceStatus.UNTOLD, Rig.QUICK);
        assertInstanceOf(Action.Fail.class, failed.end);
        Rig.Taken refused = rig.call("g", Rig.BINDING);
        rig.end(refused, 0, Outcome.UNREACHABLE, InstanceStatus.UNTOLD, Rig.QUICK);
        assertEquals(2, refused.workers.size());
        assertNotEquals(refused.workers.get(0), refused.workers.get(1));
    }

    @Test
    void requestWithIdempotencyKeyIsRetriedWithinItsDeduplicationScope() {
        Rig rig = Rig.withWorkers(Rig.plain(), 6);
        Rig.Taken call = rig.call("f", Rig.MARKED_IN_ZONE);
        rig.end(call, 0, Outcome.BROKEN, InstanceStatus.UNTOLD, Rig.QUICK);
        assertEquals(2, call.workers.size());
        rig.end(call, 1, Outcome.BROKEN, InstanceStatus.UNTOLD, Rig.QUICK);
        rig.end(call, 2, Outcome.BROKEN, InstanceStatus.UNTOLD, Rig.QUICK);
        assertInstanceOf(Action.Fail.class, call.end);
    }

    /** Guards against a repeat on a connection that comes up too late, when the key is no longer remembered. */
    @Test
    void requestWithIdempotencyKeyIsRetriedOnlyWithinItsDeduplicationWindow() {
        Rig rig = Rig.withWorkers(Rig.plain(), 6);
        Rig.Taken early = rig.call("f", Rig.MARKED_BRIEFLY);
        rig.pass(TimeSpan.millis(1200));
        rig.end(early, 0, Outcome.BROKEN, InstanceStatus.UNTOLD, TimeSpan.millis(1200));
        assertEquals(2, early.workers.size());
        Rig.Taken late = rig.call("g", Rig.MARKED_BRIEFLY);
        rig.pass(TimeSpan.millis(1300));
        rig.end(late, 0, Outcome.BROKEN, InstanceStatus.UNTOLD, TimeSpan.millis(1300));
        assertEquals(1, late.workers.size());
        assertInstanceOf(Action.Reject.class, late.end);
    }
}
