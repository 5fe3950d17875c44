package pearladder.routing;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import pearladder.routing.api.Action;
import pearladder.routing.api.Event.Endpoint;
import pearladder.routing.api.Event.EndpointState;
import pearladder.routing.api.MonotonicTime;
import pearladder.routing.api.RoutingSettings;
import pearladder.routing.api.RoutingSettings.DeduplicationScope;
import pearladder.routing.api.RoutingSettings.Idempotency;
import pearladder.routing.api.RoutingSettings.LoadQuota;
import pearladder.routing.api.TimeSpan;

/** Asserts the rules that every action of a policy has to keep in any state. */
final class ActionChecker {
    private final RoutingSettings settings;
    private final Map<String, TrackedRequest> requests;
    private final Map<String, Endpoint> endpoints;
    private final List<MonotonicTime> admittedAt = new ArrayList<>();
    private final List<MonotonicTime> loadRequestedAt = new ArrayList<>();

    /** Creates a checker that reads the maps at each check; the caller keeps them up to date. */
    ActionChecker(RoutingSettings settings, Map<String, TrackedRequest> requests, Map<String, Endpoint> endpoints) {
        this.settings = settings;
        this.requests = requests;
        this.endpoints = endpoints;
    }

    /** Counts an arriving request for the load quota; must be called before the policy handles it. */
    void onRequestArrived(MonotonicTime now) {
        admittedAt.add(now);
    }

    /** Checks an action before it is executed. */
    void check(MonotonicTime now, Action action) {
        if (action instanceof Action.SendAttempt send) {
            checkSend(now, send);
        } else if (action instanceof Action.Reject reject) {
            checkReject(now, requests.get(reject.requestId()));
        } else if (action instanceof Action.Fail fail) {
            checkFinalAnswer(now, requests.get(fail.requestId()));
        } else if (action instanceof Action.LoadInstances load) {
            checkLoad(now, load);
        } else if (action instanceof Action.CancelAttempt cancel) {
            assertTrue(settings.attemptLimits().cancel());
            int attempts = requests.get(cancel.requestId()).workers.size();
            assertTrue(cancel.attempt() < attempts, "cancellation of an attempt that was never sent");
        }
    }

    private void checkSend(MonotonicTime now, Action.SendAttempt send) {
        TrackedRequest request = requests.get(send.requestId());
        assertFalse(request.completed, "attempt after the final answer");
        assertTrue(isInService(send.worker()), "attempt sent to a worker that is draining or gone");
        assertTrue(request.workers.size() < settings.attemptLimits().maxAttempts(), "more than the maximum attempts");
        assertTrue(send.timeout().nanos() > 0, "timeout is not positive");
        assertTrue(
                settings.attemptLimits().hedging() || request.attemptsInFlight() == 0,
                "second attempt in flight although hedging is not allowed");
        if (!request.mayHaveExecuted()) {
            return;
        }
        Idempotency idempotency = request.requestClass.idempotency();
        assertFalse(
                idempotency == Idempotency.BINDING, "retry of a non-idempotent request that may have been executed");
        if (idempotency == Idempotency.FINGERPRINTED) {
            checkDeduplication(now, request, send.worker());
        }
    }

    /** Asserts that a repeat with an idempotency key reaches a worker that still remembers the key. */
    private void checkDeduplication(MonotonicTime now, TrackedRequest request, String worker) {
        int first = request.firstPossiblyExecuted();
        TimeSpan ageOnArrival = now.since(request.sentAt.get(first)).plus(settings.maxSendDelay());
        assertTrue(
                ageOnArrival.compareTo(request.requestClass.deduplicationWindow()) <= 0,
                "retry may arrive after the deduplication window if its connection takes the connect timeout");
        String zone = endpoints.get(worker).zone();
        String firstZone = endpoints.get(request.workers.get(first)).zone();
        boolean allWorkers = request.requestClass.deduplicationScope() == DeduplicationScope.ALL;
        assertTrue(allWorkers || zone.equals(firstZone), "retry outside the deduplication scope");
    }

    private void checkReject(MonotonicTime now, TrackedRequest request) {
        Idempotency idempotency = request.requestClass.idempotency();
        boolean deduplicatedByAll = idempotency == Idempotency.FINGERPRINTED
                && request.requestClass.deduplicationScope() == DeduplicationScope.ALL;
        assertTrue(
                idempotency == Idempotency.RETRIABLE || !request.mayHaveExecuted() || deduplicatedByAll,
                "rejection of a request that may have been executed");
        checkFinalAnswer(now, request);
    }

    private void checkFinalAnswer(MonotonicTime now, TrackedRequest request) {
        assertNotNull(request);
        assertFalse(request.completed, "second final answer");
        MonotonicTime latest = request.deadlineAt.plus(settings.responseGrace().grace());
        assertFalse(latest.isBefore(now), "final answer after the deadline and its grace");
    }

    private void checkLoad(MonotonicTime now, Action.LoadInstances load) {
        assertTrue(settings.instances().acceptsLoadRequests(), "load request although workers accept none");
        assertTrue(isInService(load.worker()), "load request to a worker that is draining or gone");
        loadRequestedAt.add(now);
        LoadQuota quota = settings.loadQuota();
        TimeSpan window = quota.window();
        if (window.nanos() <= 0) {
            return;
        }
        long loadRequests = loadRequestedAt.stream()
                .filter(at -> now.since(at).compareTo(window) <= 0)
                .count();
        long admitted = admittedAt.stream()
                .filter(at -> now.since(at).compareTo(window) < 0)
                .count();
        assertTrue(
                loadRequests <= quota.burst() + quota.requestShare() * admitted,
                "more load requests than the quota allows");
    }

    private boolean isInService(String worker) {
        return endpoints.get(worker).state() == EndpointState.IN_SERVICE;
    }
}
