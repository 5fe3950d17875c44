package pearladder.routing.state;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Predicate;
import pearladder.routing.api.Action;
import pearladder.routing.api.Event;
import pearladder.routing.api.Event.EndpointState;
import pearladder.routing.api.MonotonicTime;
import pearladder.routing.api.Outcome;
import pearladder.routing.api.RoutingSettings;
import pearladder.routing.api.RoutingSettings.RequestClass;
import pearladder.routing.api.TimeSpan;

/**
 * What one router knows: its settings, endpoints, functions and open requests, with the counts of attempts in flight;
 * and, while an event is handled, its time and the actions decided so far. Shared by the mechanisms of the policy.
 */
public final class RouterState {
    private final RoutingSettings settings;
    private final DecayTimes decayTimes;
    private final TypicalTimes typicalTimes;
    private final EndpointList endpoints;
    private final LoadQuotaCounter loadQuota;
    private final Map<String, Function> functions = new LinkedHashMap<>();
    private final Map<String, RequestClass> requestClasses = new HashMap<>();
    private final Map<String, Request> requests = new HashMap<>();
    private int attemptsInFlight;
    private MonotonicTime now;
    private List<Action> actions = new ArrayList<>();

    /** @param virtualNodesPerWorker the number of positions of each worker on the hash ring */
    public RouterState(
            RoutingSettings settings,
            DecayTimes decayTimes,
            TypicalTimes.Priors timePriors,
            int virtualNodesPerWorker) {
        this.settings = settings;
        this.typicalTimes = new TypicalTimes(this, decayTimes, timePriors);
        this.decayTimes = decayTimes;
        settings.requestClasses().forEach(requestClass -> requestClasses.put(requestClass.name(), requestClass));
        this.loadQuota = new LoadQuotaCounter(settings.loadQuota());
        this.endpoints = new EndpointList(new HashRing(virtualNodesPerWorker), decayTimes);
    }

    /** Sets the time of the event that is handled from here on. */
    public void advanceTo(MonotonicTime time) {
        now = time;
    }

    /** Starts a new list of actions, which the caller of the policy will own. */
    public List<Action> startActions() {
        actions = new ArrayList<>();
        return actions;
    }

    /** Appends an action to the answer to the current event. */
    public void emit(Action action) {
        actions.add(action);
    }

    /** Appends a log message, formatted as by {@link String#format}. */
    public void log(String format, Object... arguments) {
        emit(new Action.Log(String.format(format, arguments)));
    }

    /** The time of the current event. */
    public MonotonicTime now() {
        return now;
    }

    /** The time since a moment that isn't null. */
    public TimeSpan age(MonotonicTime moment) {
        return now.since(moment);
    }

    /** Whether a moment, which may be null, lies ahead. */
    public boolean isPending(MonotonicTime moment) {
        return moment != null && now.isBefore(moment);
    }

    /** The time until the client's deadline for a request. */
    public TimeSpan timeLeft(Request request) {
        return request.deadlineAt.since(now);
    }

    /** Whether the worker is eligible and refused nothing as full of late that concerns the function. */
    public boolean isAvailable(Placement placement) {
        return isEligible(placement.worker)
                && !isPending(placement.overloadedUntil)
                && !isPending(placement.worker.overloadedUntil);
    }

    /** Whether the worker is in service, not ejected, and not skipped for being unready or refusing work. */
    public boolean isEligible(Worker worker) {
        return worker.state == EndpointState.IN_SERVICE
                && !isPending(worker.ejectedUntil)
                && !isPending(worker.unreadyUntil)
                && !isPending(worker.refusedUntil);
    }

    /** The settings stated at the start. */
    public RoutingSettings settings() {
        return settings;
    }

    /** The time constants of decaying sums. */
    public DecayTimes decayTimes() {
        return decayTimes;
    }

    /** How long requests and loads typically take. */
    public TypicalTimes typicalTimes() {
        return typicalTimes;
    }

    /** What counts against the load quota. */
    public LoadQuotaCounter loadQuota() {
        return loadQuota;
    }

    /** The workers as the endpoint list states them. */
    public EndpointList endpoints() {
        return endpoints;
    }

    /** The known functions, in the order of their first request. */
    public Collection<Function> functions() {
        return functions.values();
    }

    /** The function, or null where it isn't known. */
    public Function findFunction(String functionId) {
        return functions.get(functionId);
    }

    /** The function, new where it wasn't known. */
    public Function function(String functionId) {
        return functions.computeIfAbsent(functionId, id -> new Function(id, decayTimes.demand(), decayTimes.rates()));
    }

    /** Drops the functions that match, with their placements. */
    public void removeFunctionsIf(Predicate<Function> condition) {
        functions.values().removeIf(function -> {
            boolean removed = condition.test(function);
            if (removed) {
                function.placements.values().forEach(placement -> placement.worker.placements.remove(placement));
            }
            return removed;
        });
    }

    /**
     * Admits a request and counts it.
     *
     * @throws IllegalArgumentException if the settings name no such request class
     */
    public Request admit(Event.RequestArrived event) {
        RequestClass requestClass = requestClasses.get(event.requestClass());
        if (requestClass == null) {
            throw new IllegalArgumentException("a call of an unknown category: " + event.requestClass());
        }
        Function function = function(event.function());
        function.setRequirements(event.concurrency(), event.memoryMb(), event.typicalLoadTime());
        function.recentRequests.add(now, 1);
        function.requestCount++;
        loadQuota.addAdmittedRequest(now);
        MonotonicTime deadlineAt = now.plus(event.timeLeft());
        Request request = new Request(event.requestId(), function, requestClass, now, deadlineAt, event.workEstimate());
        requests.put(request.id, request);
        return request;
    }

    /** The attempt in flight that an event concerns, or null where there is none. */
    public Attempt findInFlight(String requestId, int attemptNumber) {
        Request request = requests.get(requestId);
        if (request == null || attemptNumber < 0 || attemptNumber >= request.attempts.size()) {
            return null;
        }
        Attempt attempt = request.attempts.get(attemptNumber);
        return attempt.outcome == null ? attempt : null;
    }

    /** The placement of a function on a worker where both are known, else null. */
    public Placement findPlacement(String functionId, String workerId) {
        Worker worker = endpoints.find(workerId);
        Function function = functions.get(functionId);
        return worker == null || function == null ? null : function.placementOn(worker);
    }

    /** The memory of the smallest kind of worker, in MB; 0 where it isn't stated. */
    public double minWorkerMemoryMb() {
        return settings.instances().memoryByWorkerKind().stream()
                .mapToDouble(mb -> mb)
                .min()
                .orElse(0);
    }

    /** The request, or null once it has been answered and none of its attempts is in flight. */
    public Request findRequest(String requestId) {
        return requests.get(requestId);
    }

    /** Records that the request has its final answer; it is dropped when its last attempt has ended. */
    public void completeRequest(Request request) {
        request.completed = true;
        if (request.attemptsInFlight == 0) {
            requests.remove(request.id);
        }
    }

    /** The number of workers in service. */
    public int workerCount() {
        return endpoints.inService().size();
    }

    /** The mean number of attempts in flight on a worker in service. */
    public double meanAttemptsInFlight() {
        return (double) attemptsInFlight / Math.max(1, workerCount());
    }

    /** Counts an attempt that is sent now. */
    public void addAttempt(Attempt attempt) {
        Placement placement = attempt.placement;
        Worker worker = placement.worker;
        attempt.request.attempts.add(attempt);
        attempt.request.attemptsInFlight++;
        attemptsInFlight++;
        placement.inFlight++;
        placement.renewedAt = now;
        placement.sentAt = now;
        worker.attemptsInFlight.add(attempt);
        worker.coldAttemptsInFlight += attempt.assumedWarm ? 0 : 1;
        endpoints.addContacted(worker);
        worker.sentAt = now;
    }

    /** Counts an attempt as ended. */
    public void endAttempt(Attempt attempt, Outcome outcome) {
        Worker worker = attempt.placement.worker;
        attempt.outcome = outcome;
        attempt.request.attemptsInFlight--;
        attemptsInFlight--;
        attempt.placement.inFlight--;
        worker.attemptsInFlight.remove(attempt);
        worker.coldAttemptsInFlight -= attempt.assumedWarm ? 0 : 1;
    }
}
