package pearladder.delivery;

import pearladder.routing.api.MonotonicTime;
import pearladder.routing.api.RoutingSettings.Idempotency;

/** Decides whether an attempt, an answer, a load request or the closing of a connection is allowed. */
public final class DeliveryRules {
    /**
     * State of a request that the rules decide by.
     *
     * @param completed whether the client has received the final answer or has disconnected
     * @param deadlineAt time until which the client waits for an answer
     * @param attempts number of attempts started, including those in flight
     * @param possiblyExecuted whether an attempt may have been executed or may still be executed
     * @param idempotency idempotency of the request class
     */
    public record RequestState(
            boolean completed,
            MonotonicTime deadlineAt,
            int attempts,
            boolean possiblyExecuted,
            Idempotency idempotency) {}

    private final int maxAttempts;

    /** @param maxAttempts maximum number of attempts of one request, at least 1 */
    public DeliveryRules(int maxAttempts) {
        this.maxAttempts = maxAttempts;
    }

    /** Decides whether an attempt of a request, the first one or a retry, may be started. */
    public Verdict checkAttempt(RequestState request, MonotonicTime now) {
        Verdict verdict = checkOpenRequest(request, now);
        if (!verdict.isAllowed()) {
            return verdict;
        }
        if (request.possiblyExecuted() && request.idempotency() == Idempotency.BINDING) {
            return Verdict.MAY_HAVE_BEEN_EXECUTED;
        }
        return request.attempts() < maxAttempts ? Verdict.ALLOWED : Verdict.TOO_MANY_ATTEMPTS;
    }

    /**
     * Decides whether the first byte of a started attempt may be written to its worker.
     *
     * @param sendBefore time until which the worker is known to be in service; null for no limit
     */
    public Verdict checkWrite(RequestState request, MonotonicTime sendBefore, MonotonicTime now) {
        Verdict verdict = checkOpenRequest(request, now);
        return verdict.isAllowed() ? checkSend(sendBefore, now) : verdict;
    }

    /** Decides whether new work may be written to a worker that is known to be in service until {@code sendBefore}. */
    private static Verdict checkSend(MonotonicTime sendBefore, MonotonicTime now) {
        return sendBefore == null || now.isBefore(sendBefore) ? Verdict.ALLOWED : Verdict.WORKER_NOT_CONFIRMED;
    }

    private static Verdict checkOpenRequest(RequestState request, MonotonicTime now) {
        if (request.completed()) {
            return Verdict.REQUEST_COMPLETED;
        }
        return now.isBefore(request.deadlineAt()) ? Verdict.ALLOWED : Verdict.DEADLINE_PASSED;
    }

    /** Decides whether the final answer may be sent; no request gets a second one. */
    public Verdict checkAnswer(RequestState request) {
        return request.completed() ? Verdict.REQUEST_COMPLETED : Verdict.ALLOWED;
    }

    /**
     * Decides whether a load request may be sent to a worker.
     *
     * @param sendBefore time until which the worker is known to be in service; null for no limit
     */
    public Verdict checkLoadRequest(boolean workerInService, MonotonicTime sendBefore, MonotonicTime now) {
        return workerInService ? checkSend(sendBefore, now) : Verdict.WORKER_NOT_IN_SERVICE;
    }

    /** Decides whether a client's connection may be closed or the router may exit: only without unanswered requests. */
    public Verdict checkClose(int unansweredRequests) {
        return unansweredRequests == 0 ? Verdict.ALLOWED : Verdict.UNANSWERED_REQUESTS;
    }
}
