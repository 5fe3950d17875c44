package pearladder.routing.state;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
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
 * The state of one router, shared by the mechanisms of the policy: its settings, endpoints, functions and open
 * requests, with the counts of attempts in flight; and, while an event is handled, its time and the actions so far.
 */
public final class RouterState {
    private final RoutingSettings settings;
    private final DecayTimes decayTimes;
    private final TypicalTimes typicalTimes;
    private final EndpointList endpoints;
    private final LoadQuotaCounter loadQuota;
    private final FunctionTable functions;
    private final Map<String, RequestClass> requestClasses = new HashMap<>();
    private final Map<String, Request> requests = new HashMap<>();
    private int attemptsInFlight;
    private MonotonicTime now;
    private List<Action> actions = new ArrayList<>();

    /**
     * @param virtualNodesPerWorker the number of positions of each worker on the hash ring
     * @param maxUnservedFunctions limit of the functions that no worker has served and that are not in use
     */
    public RouterState(
            RoutingSettings settings,
            DecayTimes decayTimes,
            TypicalTimes.Priors timePriors,
            int virtualNodesPerWorker,
            int maxUnservedFunctions) {
        this.settings = settings;
        this.typicalTimes = new TypicalTimes(this, decayTimes, timePriors);
        this.decayTimes = decayTimes;
        this.functions = new FunctionTable(maxUnservedFunctions, decayTimes);
        settings.requestClasses().forEach(requestClass -> requestClasses.put(requestClass.name(), requestClass));
        this.loadQuota = new LoadQuotaCounter(settings.loadQuota());
        this.endpoints = new EndpointList(new HashRing(virtualNodesPerWorker), decayTimes);
    }

    /** Sets the time of the event that is handled next. */
    public void advanceTo(MonotonicTime time) {
        now = time;
    }

    /** Starts and returns a new list of actions, which the caller of the policy owns after the event. */
    public List<Action> startActions() {
        actions = new ArrayList<>();
        return actions;
    }

    /** Appends an action to the result of the current event. */
    public void emit(Action action) {
        actions.add(action);
    }

    /** Appends a log message, formatted as by {@link String#format}. */
    public void log(String format, Object... arguments) {
        emit(new Action.Log(String.format(format, arguments)));
    }

    /** Returns the time of the current event. */
    public MonotonicTime now() {
        return now;
    }

    /** Returns the time elapsed since a moment, which must not be null. */
    public TimeSpan age(MonotonicTime moment) {
        return now.since(moment);
    }

    /** Returns whether a moment is in the future; false for null. */
    public boolean isPending(MonotonicTime moment) {
        return moment != null && now.isBefore(moment);
    }

    /** Returns the time until the client's deadline for a request. */
    public TimeSpan timeLeft(Request request) {
        return request.deadlineAt.since(now);
    }

    /** Returns whether the worker is eligible and not skipped, for the function or at all, after a refusal as full. */
    public boolean isAvailable(Placement placement) {
        return isEligible(placement.worker)
                && !isPending(placement.overloadedUntil)
                && !isPending(placement.worker.overloadedUntil);
    }

    /** Returns whether the worker is in service, not ejected, and not skipped as unready or for refusing work. */
    public boolean isEligible(Worker worker) {
        return worker.state == EndpointState.IN_SERVICE
                && !isPending(worker.ejectedUntil)
                && !isPending(worker.unreadyUntil)
                && !isPending(worker.refusedUntil);
    }

    /** Returns the settings given at the start. */
    public RoutingSettings settings() {
        return settings;
    }

    /** Returns the time constants of the decaying sums. */
    public DecayTimes decayTimes() {
        return decayTimes;
    }

    /** Returns the typical times of requests and loads. */
    public TypicalTimes typicalTimes() {
        return typicalTimes;
    }

    /** Returns the counter that enforces the load quota. */
    public LoadQuotaCounter loadQuota() {
        return loadQuota;
    }

    /** Returns the workers of the endpoint list. */
    public EndpointList endpoints() {
        return endpoints;
    }

    /** Returns the known functions, in the order in which they became known. */
    public Collection<Function> functions() {
        return functions.all();
    }

    /** Returns the function, or null if it isn't known. */
    public Function findFunction(String functionId) {
        return functions.find(functionId);
    }

    /** Returns the function, which is created if it isn't known. */
    public Function function(String functionId) {
        return functions.findOrCreate(functionId);
    }

    /** Records that a worker has executed a request of the function or has loaded it. */
    public void onServed(Function function) {
        functions.onServed(function);
    }

    /** Removes the functions that meet the condition, with their placements. */
    public void removeFunctionsIf(Predicate<Function> condition) {
        functions.removeIf(condition);
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
        functions.onRequested(function);
        loadQuota.addAdmittedRequest(now);
        MonotonicTime deadlineAt = now.plus(event.timeLeft());
        Request request = new Request(event.requestId(), function, requestClass, now, deadlineAt, event.workEstimate());
        requests.put(request.id, request);
        function.openRequests++;
        return request;
    }

    /** Returns the attempt if it is in flight, else null. */
    public Attempt findInFlight(String requestId, int attemptNumber) {
        Request request = requests.get(requestId);
        if (request == null || attemptNumber < 0 || attemptNumber >= request.attempts.size()) {
            return null;
        }
        Attempt attempt = request.attempts.get(attemptNumber);
        return attempt.outcome == null ? attempt : null;
    }

    /** Returns the placement of a function on a worker, created if needed; null unless both are known. */
    public Placement findPlacement(String functionId, String workerId) {
        Worker worker = endpoints.find(workerId);
        Function function = functions.find(functionId);
        return worker == null || function == null ? null : function.placementOn(worker);
    }

    /** Returns the memory of the smallest kind of worker, in MB; 0 if the settings state none. */
    public double minWorkerMemoryMb() {
        return settings.instances().memoryByWorkerKind().stream()
                .mapToDouble(mb -> mb)
                .min()
                .orElse(0);
    }

    /** Returns the request, or null once it has been answered and none of its attempts is in flight. */
    public Request findRequest(String requestId) {
        return requests.get(requestId);
    }

    /** Marks the request as completed, and removes it unless an attempt is still in flight. */
    public void completeRequest(Request request) {
        request.completed = true;
        if (request.attemptsInFlight == 0) {
            remove(request);
        }
    }

    private void remove(Request request) {
        if (requests.remove(request.id, request)) {
            request.function.openRequests--;
        }
    }

    /** Returns the number of workers in service. */
    public int workerCount() {
        return endpoints.inService().size();
    }

    /** Returns the mean number of attempts in flight on a worker in service. */
    public double meanAttemptsInFlight() {
        return (double) attemptsInFlight / Math.max(1, workerCount());
    }

    /** Records an attempt that is sent now. */
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

    /** Records that an attempt has ended. */
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
