package pearladder.routing;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import pearladder.routing.api.Action;
import pearladder.routing.api.Event;
import pearladder.routing.api.Event.Endpoint;
import pearladder.routing.api.Event.EndpointState;
import pearladder.routing.api.Event.EndpointUpdateKind;
import pearladder.routing.api.Event.InstanceStatus;
import pearladder.routing.api.MonotonicTime;
import pearladder.routing.api.Outcome;
import pearladder.routing.api.RoutingSettings;
import pearladder.routing.api.RoutingSettings.RequestClass;
import pearladder.routing.api.TimeSpan;

/** Drives one policy step by step in virtual time and checks the rules for each action that it returns. */
final class PolicyHarness {
    static final TimeSpan SHORT_TIME = TimeSpan.millis(100);

    private static final long POLICY_SEED = 7;
    private static final double MEMORY_MB = 500;
    private static final TimeSpan LOAD_TIME = TimeSpan.millis(800);

    final RoutingSettings settings;
    final StickyFirstFitPolicy policy;
    final Map<String, TrackedRequest> requests = new LinkedHashMap<>();
    /** All actions so far. */
    final List<Action> actions = new ArrayList<>();

    MonotonicTime now = new MonotonicTime(1_000_000_000_000L);
    private final Map<String, Endpoint> endpoints = new LinkedHashMap<>();
    private final List<Action.SetTimer> timers = new ArrayList<>();
    private final ActionChecker checker;
    private int requestCount;

    private PolicyHarness(RoutingSettings settings) {
        this.settings = settings;
        this.policy = new StickyFirstFitPolicy(POLICY_SEED, settings);
        this.checker = new ActionChecker(settings, requests, endpoints);
    }

    /** Creates a policy that knows workers w0, w1 and so on, alternately in zones a and b. */
    static PolicyHarness withWorkers(RoutingSettings settings, int count) {
        PolicyHarness harness = new PolicyHarness(settings);
        for (int i = 0; i < count; i++) {
            String zone = i % 2 == 0 ? "a" : "b";
            harness.endpoints.put("w" + i, endpoint("w" + i, zone, EndpointState.IN_SERVICE, null));
        }
        harness.updateEndpoints(EndpointUpdateKind.CACHED);
        return harness;
    }

    static Endpoint endpoint(String worker, String zone, EndpointState state, MonotonicTime startedAt) {
        return new Endpoint(worker, zone, "k", 0, state, 1, startedAt);
    }

    private void updateEndpoints(EndpointUpdateKind kind) {
        on(new Event.EndpointsUpdated(kind, List.copyOf(endpoints.values())));
    }

    void setEndpointState(String worker, EndpointState state, MonotonicTime startedAt) {
        endpoints.put(worker, endpoint(worker, endpoints.get(worker).zone(), state, startedAt));
        updateEndpoints(EndpointUpdateKind.DELTA);
    }

    /** Sends a request of the function, which succeeds after a short time, and returns the worker that got it. */
    String homeWorker(String function) {
        TrackedRequest request = request(function, TestSettings.IDEMPOTENT);
        advance(SHORT_TIME);
        succeed(request, SHORT_TIME);
        return request.workers.get(0);
    }

    /** Advances the time and fires the timers that are due. */
    void advance(TimeSpan span) {
        MonotonicTime until = now.plus(span);
        Action.SetTimer next = nextTimer();
        while (next != null && !until.isBefore(next.dueAt())) {
            timers.remove(next);
            now = next.dueAt().isBefore(now) ? now : next.dueAt();
            on(new Event.TimerFired(next.tag()));
            next = nextTimer();
        }
        now = until;
    }

    /** Returns the timer that is due first, and among those the one set first; null if none is set. */
    private Action.SetTimer nextTimer() {
        Action.SetTimer next = null;
        for (Action.SetTimer timer : timers) {
            next = next == null || timer.dueAt().isBefore(next.dueAt()) ? timer : next;
        }
        return next;
    }

    TrackedRequest request(String function, RequestClass requestClass) {
        return request(function, requestClass, null, 2, TimeSpan.seconds(4));
    }

    TrackedRequest request(
            String function, RequestClass requestClass, String tenant, int concurrency, TimeSpan timeLeft) {
        TrackedRequest request = new TrackedRequest("call" + requestCount++, requestClass, now.plus(timeLeft));
        return request(
                request,
                new Event.RequestArrived(
                        request.id,
                        function,
                        requestClass.name(),
                        tenant,
                        timeLeft,
                        concurrency,
                        MEMORY_MB,
                        LOAD_TIME,
                        null,
                        false,
                        false));
    }

    /** Passes a request that the caller created to the policy. */
    TrackedRequest request(TrackedRequest request, Event.RequestArrived event) {
        requests.put(request.id, request);
        checker.onRequestArrived(now);
        on(event);
        return request;
    }

    /** Ends the request's only attempt in flight as a success on an instance that was already loaded. */
    void succeed(TrackedRequest request, TimeSpan elapsed) {
        int attempt = request.outcomes.indexOf(null);
        endAttempt(request, attempt, Outcome.SUCCESS, InstanceStatus.STOOD, elapsed);
    }

    void endAttempt(
            TrackedRequest request, int attempt, Outcome outcome, InstanceStatus instanceStatus, TimeSpan elapsed) {
        endAttempt(request, attempt, outcome, instanceStatus, elapsed, 0);
    }

    void endAttempt(
            TrackedRequest request,
            int attempt,
            Outcome outcome,
            InstanceStatus instanceStatus,
            TimeSpan elapsed,
            double loadsInProgress) {
        endAttempt(request, attempt, outcome, instanceStatus, elapsed, loadsInProgress, Double.NaN);
    }

    void endAttempt(
            TrackedRequest request,
            int attempt,
            Outcome outcome,
            InstanceStatus instanceStatus,
            TimeSpan elapsed,
            double loadsInProgress,
            double backlog) {
        request.outcomes.set(attempt, outcome);
        request.completed |= outcome == Outcome.SUCCESS;
        on(new Event.AttemptEnded(
                request.id,
                attempt,
                request.workers.get(attempt),
                outcome,
                elapsed,
                request.completed,
                instanceStatus,
                0,
                new Event.WorkerLoadReport(Double.NaN, backlog, Double.NaN, loadsInProgress, Double.NaN)));
    }

    /** Passes an event to the policy, and checks and applies its actions. */
    List<Action> on(Event event) {
        List<Action> newActions = policy.handle(now, event);
        for (Action action : newActions) {
            checker.check(now, action);
            apply(action);
            actions.add(action);
        }
        return newActions;
    }

    private void apply(Action action) {
        if (action instanceof Action.SendAttempt send) {
            requests.get(send.requestId()).addAttempt(send.worker(), now);
        } else if (action instanceof Action.Reject reject) {
            complete(requests.get(reject.requestId()), action);
        } else if (action instanceof Action.Fail fail) {
            complete(requests.get(fail.requestId()), action);
        } else if (action instanceof Action.SetTimer timer) {
            timers.add(timer);
        }
    }

    private static void complete(TrackedRequest request, Action finalAction) {
        request.completed = true;
        request.finalAction = finalAction;
    }

    void assertAllAnswered() {
        long unanswered =
                requests.values().stream().filter(request -> !request.completed).count();
        assertEquals(0, unanswered, "requests without a final answer");
    }
}
