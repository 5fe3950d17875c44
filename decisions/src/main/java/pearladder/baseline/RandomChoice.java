package pearladder.baseline;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import pearladder.routing.api.Action;
import pearladder.routing.api.Event;
import pearladder.routing.api.MonotonicTime;
import pearladder.routing.api.Outcome;
import pearladder.routing.api.RoutingPolicy;
import pearladder.routing.api.RoutingSettings;
import pearladder.routing.api.RoutingSettings.Idempotency;
import pearladder.routing.api.TimeSpan;
import pearladder.routing.state.SeededRandom;

/**
 * Baseline to compare the routing policy with: sends each request to a random worker in service, and retries it once if
 * it is known not to have been executed. No router serves requests with it.
 */
public final class RandomChoice implements RoutingPolicy {
    private static final int MAX_ATTEMPTS = 2;
    private static final TimeSpan ENDPOINTS_RETRY_DELAY = TimeSpan.millis(300);

    private static final class OpenRequest {
        final MonotonicTime deadlineAt;
        final Idempotency idempotency;
        int attempts;

        OpenRequest(MonotonicTime deadlineAt, Idempotency idempotency) {
            this.deadlineAt = deadlineAt;
            this.idempotency = idempotency;
        }
    }

    private final SeededRandom random;
    private final RoutingSettings settings;
    private final Map<String, Event.Endpoint> workers = new TreeMap<>();
    private final Map<String, OpenRequest> requests = new HashMap<>();
    private List<String> inService = List.of();

    /** @param seed seed of the random choices */
    public RandomChoice(long seed, RoutingSettings settings) {
        this.random = new SeededRandom(seed);
        this.settings = settings;
    }

    @Override
    public List<Action> handle(MonotonicTime now, Event event) {
        List<Action> actions = new ArrayList<>();
        if (event instanceof Event.RequestArrived arrived) {
            onRequestArrived(now, arrived, actions);
        } else if (event instanceof Event.AttemptEnded ended && requests.containsKey(ended.requestId())) {
            onAttemptEnded(now, ended, actions);
        } else if (event instanceof Event.ClientDisconnected disconnected) {
            requests.remove(disconnected.requestId());
        } else if (event instanceof Event.EndpointsUpdated update) {
            onEndpointsUpdated(now, update, actions);
        } else if (event instanceof Event.TimerFired) {
            actions.add(new Action.WatchEndpoints(true));
        }
        return actions;
    }

    private void onRequestArrived(MonotonicTime now, Event.RequestArrived event, List<Action> actions) {
        Idempotency idempotency = settings.requestClasses().stream()
                .filter(requestClass -> requestClass.name().equals(event.requestClass()))
                .findFirst()
                .orElseThrow()
                .idempotency();
        OpenRequest request = new OpenRequest(now.plus(event.timeLeft()), idempotency);
        requests.put(event.requestId(), request);
        send(now, event.requestId(), request, actions);
    }

    private void onAttemptEnded(MonotonicTime now, Event.AttemptEnded event, List<Action> actions) {
        OpenRequest request = requests.get(event.requestId());
        int maxAttempts = Math.min(MAX_ATTEMPTS, settings.attemptLimits().maxAttempts());
        if (event.requestCompleted() || event.outcome() == Outcome.SUCCESS) {
            requests.remove(event.requestId());
        } else if (event.outcome().neverExecuted && request.attempts < maxAttempts) {
            send(now, event.requestId(), request, actions);
        } else {
            requests.remove(event.requestId());
            boolean isSafeToRetry = event.outcome().neverExecuted || request.idempotency == Idempotency.RETRIABLE;
            actions.add(
                    isSafeToRetry
                            ? new Action.Reject(event.requestId(), TimeSpan.ZERO)
                            : new Action.Fail(event.requestId()));
        }
    }

    private void send(MonotonicTime now, String requestId, OpenRequest request, List<Action> actions) {
        TimeSpan timeout =
                request.deadlineAt.since(now).minus(settings.quantum().times(2));
        if (inService.isEmpty() || timeout.nanos() <= 0) {
            requests.remove(requestId);
            actions.add(new Action.Reject(requestId, TimeSpan.ZERO));
            return;
        }
        request.attempts++;
        String worker = inService.get((int) (random.next() * inService.size()));
        actions.add(new Action.SendAttempt(requestId, worker, timeout));
    }

    private void onEndpointsUpdated(MonotonicTime now, Event.EndpointsUpdated update, List<Action> actions) {
        if (update.kind() == Event.EndpointUpdateKind.FAILED) {
            actions.add(new Action.SetTimer(now.plus(ENDPOINTS_RETRY_DELAY), "list"));
            return;
        }
        if (update.kind() != Event.EndpointUpdateKind.DELTA) {
            workers.clear();
        }
        update.endpoints().forEach(endpoint -> workers.put(endpoint.worker(), endpoint));
        inService = workers.values().stream()
                .filter(endpoint -> endpoint.state() == Event.EndpointState.IN_SERVICE)
                .map(Event.Endpoint::worker)
                .toList();
    }
}
