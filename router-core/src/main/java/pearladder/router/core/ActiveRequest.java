package pearladder.router.core;

import java.util.ArrayList;
import java.util.List;
import pearladder.delivery.DeliveryRules;
import pearladder.routing.api.MonotonicTime;
import pearladder.routing.api.RoutingSettings;

/** A request that this router has admitted, with its tenant, its response handler and its attempts so far. */
public final class ActiveRequest {
    /** Unique within this router. */
    public final String id;
    /** The client's id of the request, which is sent to workers; the router's id if the client gave none. */
    public final String clientRequestId;

    public final String function;
    /** Null if the client gave none. */
    public final String idempotencyKey;
    /** Empty if tenants are not distinguished. */
    public final String tenant;

    public final ResponseHandler responseHandler;
    private final RoutingSettings.Idempotency idempotency;
    final MonotonicTime admittedAt;
    /** The time at which the client stops waiting. */
    final MonotonicTime deadlineAt;
    /** A response before this time meets the latency objective. */
    final MonotonicTime objectiveAt;

    final CompletionListener completionListener;
    /** Whether an attempt ended with an error of its worker. */
    boolean workerFailed;

    final List<ActiveAttempt> attempts = new ArrayList<>(2);
    int attemptsInFlight;
    /** Whether the client has received its final answer or has disconnected. */
    boolean completed;

    /** @param now the time of admission, which may be later than the time of receipt */
    ActiveRequest(String id, RequestManager.ParsedRequest parsed, ResponseHandler responseHandler, MonotonicTime now) {
        this.id = id;
        this.clientRequestId = parsed.clientRequestId();
        this.function = parsed.function();
        this.completionListener = parsed.completionListener();
        this.idempotencyKey = parsed.idempotencyKey();
        this.tenant = parsed.tenant() == null ? "" : parsed.tenant();
        this.responseHandler = responseHandler;
        this.idempotency = parsed.requestClass().idempotency();
        this.admittedAt = parsed.receivedAt();
        this.deadlineAt = now.plus(parsed.timeLeft());
        this.objectiveAt = parsed.receivedAt().plus(parsed.requestClass().latencyObjective());
    }

    /** Returns the state of the request that the delivery rules are applied to. */
    DeliveryRules.RequestState deliveryState() {
        return new DeliveryRules.RequestState(
                completed, deadlineAt, attempts.size(), mayHaveBeenExecuted(), idempotency);
    }

    /** Returns whether a worker may have executed the request, or may still execute it. */
    boolean mayHaveBeenExecuted() {
        return attempts.stream().anyMatch(ActiveAttempt::mayHaveBeenExecuted);
    }

    /** Returns the workers that were sent an attempt, each once, in the order of the attempts. */
    List<String> workers() {
        return attempts.stream().map(attempt -> attempt.worker).distinct().toList();
    }

    /** Returns a copy of the attempts, because cancelling an attempt may end it and cause another one. */
    List<ActiveAttempt> attemptsSoFar() {
        return List.copyOf(attempts);
    }

    /** Returns whether the request is completed and has no attempt in flight. */
    boolean isFinished() {
        return completed && attemptsInFlight == 0;
    }
}
