package pearladder.router.core;

import java.util.EnumMap;
import java.util.Map;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import pearladder.delivery.DeliveryRules;
import pearladder.delivery.Verdict;
import pearladder.routing.api.Action;

/**
 * Applies the {@link DeliveryRules} to every operation that they restrict: starting or writing an attempt, answering a
 * request, sending a load request, and closing a resource that may have unanswered requests. Counts refused operations
 * by reason and logs the first one for each reason with the request's id. Confined to the event loop.
 */
public final class DeliveryGate {
    private static final Logger LOG = LoggerFactory.getLogger(DeliveryGate.class);

    private final Timers timers;
    private final DeliveryRules rules;
    private final Map<Verdict, Long> refusals = new EnumMap<>(Verdict.class);

    /** @param maxAttempts maximum number of attempts of one request */
    DeliveryGate(Timers timers, int maxAttempts) {
        this.timers = timers;
        this.rules = new DeliveryRules(maxAttempts);
    }

    /** Returns whether one more attempt of a request may be started now. */
    boolean mayStartAttempt(ActiveRequest request) {
        return isAllowed(rules.checkAttempt(request.deliveryState(), timers.now()), "an attempt of request", request);
    }

    /** Returns whether the first byte of an attempt may be written now. */
    boolean mayWrite(ActiveAttempt attempt) {
        return isAllowed(
                rules.checkWrite(attempt.request.deliveryState(), attempt.sendBefore, timers.now()),
                "writing an attempt of request",
                attempt.request);
    }

    /** Returns whether a request may be given its final answer now. */
    boolean mayAnswer(ActiveRequest request) {
        // A refusal is expected for every attempt that ends after the request was answered, so it is not counted.
        return rules.checkAnswer(request.deliveryState()).isAllowed();
    }

    /** Returns whether a load request may be sent or written to its worker now. */
    boolean mayLoad(Action.LoadInstances request, WorkerClient workers) {
        Verdict verdict =
                rules.checkLoadRequest(workers.isInService(request.worker()), request.sendBefore(), timers.now());
        count(verdict, "a load request to", request.worker());
        return verdict.isAllowed();
    }

    /** Returns whether a resource with a number of unanswered requests may be closed. */
    public boolean mayClose(int unansweredRequests, String resource) {
        Verdict verdict = rules.checkClose(unansweredRequests);
        count(verdict, "closing", resource);
        return verdict.isAllowed();
    }

    private boolean isAllowed(Verdict verdict, String operation, ActiveRequest request) {
        count(verdict, operation, request.clientRequestId);
        return verdict.isAllowed();
    }

    private void count(Verdict verdict, String operation, String subject) {
        if (!verdict.isAllowed() && refusals.merge(verdict, 1L, Long::sum) == 1) {
            LOG.warn("refused {} {}: {}; further refusals are only counted", operation, subject, verdict.reason());
        }
    }

    /** Returns the number of refused operations since the start, by reason. */
    public Map<Verdict, Long> refusals() {
        return Map.copyOf(refusals);
    }
}
