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

/** Asserts the rules that every action of a policy has to keep, whatever happened before. */
final class ActionChecker {
    private final RoutingSettings settings;
    private final Map<String, TrackedRequest> requests;
    private final Map<String, Endpoint> endpoints;
    private final List<MonotonicTime> admittedAt = new ArrayList<>();
    private final List<MonotonicTime> loadRequestedAt = new ArrayList<>();

    /** Reads the requests and endpoints as they are at each check; their owner keeps them up to date. */
    ActionChecker(RoutingSettings settings, Map<String, TrackedRequest> requests, Map<String, Endpoint> endpoints) {
        this.settings = settings;
        this.requests = requests;
        this.endpoints = endpoints;
    }

    /** Counts a request that arrives for the load quota; to be called before the policy handles it. */
    void onRequestArrived(MonotonicTime now) {
        admittedAt.add(now);
    }

    /** Checks an action before it is carried out. */
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
            assertTrue(cancel.attempt() < attempts, "cancels an attempt that was never sent");
        }
    }

    private void checkSend(MonotonicTime now, Action.SendAttempt send) {
        TrackedRequest request = requests.get(send.requestId());
        assertFalse(request.completed, "an attempt after the final answer");
        assertTrue(isInService(send.worker()), "an attempt to a worker that drains or is gone");
        assertTrue(request.workers.size() < settings.attemptLimits().maxAttempts(), "too many attempts");
        assertTrue(send.timeout().nanos() > 0, "a timeout in the past");
        assertTrue(
                settings.attemptLimits().hedging() || request.attemptsInFlight() == 0,
                "two attempts in flight at once");
        if (!request.mayHaveExecuted()) {
            return;
        }
        Idempotency idempotency = request.requestClass.idempotency();
        assertFalse(
                idempotency == Idempotency.BINDING,
                "a non-idempotent request that may have been executed was sent again");
        if (idempotency == Idempotency.FINGERPRINTED) {
            checkDeduplication(now, request, send.worker());
        }
    }

    /** A repeat with an idempotency key must reach a worker that still remembers the key. */
    private void checkDeduplication(MonotonicTime now, TrackedRequest request, String worker) {
        int first = request.firstPossiblyExecuted();
        TimeSpan ageOnArrival = now.since(request.sentAt.get(first)).plus(settings.maxSendDelay());
        assertTrue(
                ageOnArrival.compareTo(request.requestClass.deduplicationWindow()) <= 0,
                "outside the deduplication window, if its connection comes up as late as it may");
        String zone = endpoints.get(worker).zone();
        String firstZone = endpoints.get(request.workers.get(first)).zone();
        boolean allWorkers = request.requestClass.deduplicationScope() == DeduplicationScope.ALL;
        assertTrue(allWorkers || zone.equals(firstZone), "outside the deduplication scope");
    }

    private void checkReject(MonotonicTime now, TrackedRequest request) {
        Idempotency idempotency = request.requestClass.idempotency();
        boolean deduplicatedByAll = idempotency == Idempotency.FINGERPRINTED
                && request.requestClass.deduplicationScope() == DeduplicationScope.ALL;
        assertTrue(
                idempotency == Idempotency.RETRIABLE || !request.mayHaveExecuted() || deduplicatedByAll,
                "rejects a request that may have been executed");
        checkFinalAnswer(now, request);
    }

    private void checkFinalAnswer(MonotonicTime now, TrackedRequest request) {
        assertNotNull(request);
        assertFalse(request.completed, "a second final answer");
        MonotonicTime latest = request.deadlineAt.plus(settings.responseGrace().grace());
        assertFalse(latest.isBefore(now), "a final answer too late");
    }

    private void checkLoad(MonotonicTime now, Action.LoadInstances load) {
        assertTrue(settings.instances().acceptsLoadRequests(), "a load request where none is accepted");
        assertTrue(isInService(load.worker()), "a load request to a worker that drains or is gone");
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
