package pearladder.router.core;

import java.util.ArrayList;
import java.util.List;
import pearladder.delivery.DeliveryRules;
import pearladder.routing.api.MonotonicTime;
import pearladder.routing.api.RoutingSettings;

/** A request that this router has admitted: whose it is, who gets the response, and the attempts so far. */
public final class ActiveRequest {
    /** Unique within this router. */
    public final String id;
    /** The client's id of the request, passed on to workers; the router's id where the client gave none. */
    public final String clientRequestId;

    public final String function;
    /** Null where the client gave none. */
    public final String idempotencyKey;
    /** Empty where tenants are not distinguished. */
    public final String tenant;

    public final ResponseHandler responseHandler;
    private final RoutingSettings.Idempotency idempotency;
    final MonotonicTime admittedAt;
    /** The client waits no longer than this. */
    final MonotonicTime deadlineAt;
    /** A response before this moment meets the latency objective. */
    final MonotonicTime objectiveAt;

    final CompletionListener completionListener;
    /** Whether an attempt ended with a worker's error. */
    boolean workerFailed;

    final List<ActiveAttempt> attempts = new ArrayList<>(2);
    int attemptsInFlight;
    /** Whether the client has its final answer, or has disconnected. */
    boolean completed;

    /** @param now when the request is admitted, which may be some time after it was received */
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

    /** What the rules of delivery ask of it. */
    DeliveryRules.RequestState deliveryState() {
        boolean possiblyExecuted = attempts.stream().anyMatch(ActiveAttempt::mayHaveBeenExecuted);
        return new DeliveryRules.RequestState(completed, deadlineAt, attempts.size(), possiblyExecuted, idempotency);
    }

    /** The workers that were sent an attempt, each once, in the order of the attempts. */
    List<String> workers() {
        return attempts.stream().map(attempt -> attempt.worker).distinct().toList();
    }

    /** A copy, because cancelling an attempt may end it and cause another one. */
    List<ActiveAttempt> attemptsSoFar() {
        return List.copyOf(attempts);
    }

    /** Whether nothing is owed to the client and no attempt is under way. */
    boolean isFinished() {
        return completed && attemptsInFlight == 0;
    }
}
