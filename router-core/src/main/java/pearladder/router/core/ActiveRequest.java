package pearladder.router.core;

import java.util.ArrayList;
import java.util.List;
import pearladder.routing.api.MonotonicTime;

/** A call that this router has taken: whose it is, where the answer goes, and the legs so far. */
public final class ActiveRequest {
    public final String id;
    /** The client's own name for the call, handed on to engines; the router's id where it named none. */
    public final String clientRequestId;

    public final String function;
    public final String idempotencyKey;
    /** Empty where there are none. */
    public final String tenant;

    public final ResponseHandler responseHandler;
    final MonotonicTime admittedAt;
    /** When an answer is still within the expected time. */
    final MonotonicTime objectiveAt;

    final RequestManager.CompletionListener completionListener;
    /** Whether a leg ended with an engine's error. */
    boolean workerFailed;

    final List<ActiveAttempt> attempts = new ArrayList<>(2);
    int attemptsInFlight;
    boolean completed;

    ActiveRequest(
            String id,
            String named,
            String function,
            RequestManager.CompletionListener ending,
            String mark,
            String account,
            ResponseHandler reply,
            MonotonicTime taken,
            MonotonicTime expectedBy) {
        this.id = id;
        this.clientRequestId = named;
        this.function = function;
        this.completionListener = ending;
        this.idempotencyKey = mark;
        this.tenant = account;
        this.responseHandler = reply;
        this.admittedAt = taken;
        this.objectiveAt = expectedBy;
    }
}
