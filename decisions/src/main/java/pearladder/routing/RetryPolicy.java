package pearladder.routing;

import pearladder.routing.api.RoutingSettings.AttemptLimits;
import pearladder.routing.api.RoutingSettings.DeduplicationScope;
import pearladder.routing.api.RoutingSettings.Idempotency;
import pearladder.routing.api.RoutingSettings.RequestClass;
import pearladder.routing.api.TimeSpan;
import pearladder.routing.state.Attempt;
import pearladder.routing.state.DecayingSum;
import pearladder.routing.state.Request;
import pearladder.routing.state.RouterState;
import pearladder.routing.state.Worker;

/** Decides which requests may be retried, at which workers, and within which retry budget. */
final class RetryPolicy {
    private static final double BUDGET_SHARE = 0.2; // retries per recent request
    private static final double BUDGET_BASE = 3; // retries allowed in addition to the share

    private final RouterState state;
    private final AttemptLimits limits;
    private final DecayingSum recentRetries;
    private final DecayingSum recentRequests;

    RetryPolicy(RouterState state) {
        this.state = state;
        this.limits = state.settings().attemptLimits();
        this.recentRetries = new DecayingSum(state.decayTimes().rates());
        this.recentRequests = new DecayingSum(state.decayTimes().rates());
    }

    void onRequestAdmitted() {
        recentRequests.add(state.now(), 1);
    }

    void onRetry(boolean exemptFromBudget) {
        recentRetries.add(state.now(), exemptFromBudget ? 0 : 1);
    }

    /** Returns whether the request may be rejected, as a retry by the client would be harmless. */
    boolean mayReject(Request request) {
        RequestClass requestClass = request.requestClass;
        return requestClass.idempotency() == Idempotency.RETRIABLE
                || request.firstPossiblyExecuted() == null
                || requestClass.idempotency() == Idempotency.FINGERPRINTED
                        && requestClass.deduplicationScope() == DeduplicationScope.ALL;
    }

    /** Returns whether the earlier attempts permit sending the request to the worker. */
    boolean maySendTo(Request request, Worker worker) {
        Attempt executed = request.firstPossiblyExecuted();
        Idempotency idempotency = request.requestClass.idempotency();
        if (executed == null || idempotency == Idempotency.RETRIABLE) {
            return true;
        }
        return idempotency == Idempotency.FINGERPRINTED && isDeduplicated(executed, worker);
    }

    /** Returns whether the worker would still recognise a repeat of the attempt on arrival. */
    private boolean isDeduplicated(Attempt executed, Worker worker) {
        RequestClass requestClass = executed.request.requestClass;
        Worker first = executed.placement.worker;
        TimeSpan age = state.age(executed.sentAt);
        TimeSpan ageOnArrival = age.plus(state.settings().maxSendDelay());
        return ageOnArrival.compareTo(requestClass.deduplicationWindow()) < 0
                && switch (requestClass.deduplicationScope()) {
                    case ALL -> true;
                    case ZONE -> worker.zone.equals(first.zone);
                    case CELL -> worker.cell == first.cell;
                };
    }

    boolean mayRetry(Request request, boolean exemptFromBudget) {
        boolean nonIdempotent = request.requestClass.idempotency() == Idempotency.BINDING;
        return (!nonIdempotent || request.firstPossiblyExecuted() == null)
                && !request.streaming
                && request.attempts.size() < limits.maxAttempts()
                && (exemptFromBudget || isWithinBudget())
                && state.timeLeft(request).isLongerThan(state.typicalTimes().requestTime(request.function));
    }

    private boolean isWithinBudget() {
        double budget = BUDGET_BASE + BUDGET_SHARE * recentRequests.valueAt(state.now());
        return recentRetries.valueAt(state.now()) < budget;
    }

    /** Returns whether an attempt of the request may be cancelled and retried at another worker. */
    boolean mayCancelAndRetry(Request request) {
        return limits.cancel()
                && !request.completed
                && request.requestClass.idempotency() != Idempotency.BINDING
                && mayRetry(request, false);
    }
}
