package pearladder.routing;

import java.util.function.Predicate;
import pearladder.routing.api.Action;
import pearladder.routing.api.Event;
import pearladder.routing.api.MonotonicTime;
import pearladder.routing.api.Outcome;
import pearladder.routing.api.RoutingPolicy;
import pearladder.routing.api.RoutingSettings;
import pearladder.routing.api.TimeSpan;
import pearladder.routing.state.Attempt;
import pearladder.routing.state.DecayTimes;
import pearladder.routing.state.EventDrivenPolicy;
import pearladder.routing.state.Function;
import pearladder.routing.state.Placement;
import pearladder.routing.state.PolicySnapshot;
import pearladder.routing.state.PolicySnapshotMapper;
import pearladder.routing.state.Request;
import pearladder.routing.state.RouterState;
import pearladder.routing.state.SeededRandom;
import pearladder.routing.state.TypicalTimes;
import pearladder.routing.state.Worker;

/**
 * The routing policy of one router: sticky first fit, with the mechanisms that the package explains.
 *
 * <p>It reads no clock and shares nothing with other instances. It must be called on one thread.
 */
public final class StickyFirstFitPolicy extends EventDrivenPolicy {
    private static final TimeSpan TICK_INTERVAL = TimeSpan.millis(100);
    private static final String TICK_TIMER = "beat";
    private static final String ENDPOINTS_TIMER = "list";
    private static final String READINESS_TIMER = "readiness";
    /** Shortest delay before the watch is restarted; a random part of up to the same length is added. */
    private static final TimeSpan MIN_ENDPOINTS_RETRY_DELAY = TimeSpan.millis(200);

    private static final TimeSpan HEALTH_DECAY = TimeSpan.seconds(3);
    private static final TimeSpan RATE_DECAY = TimeSpan.seconds(5);
    private static final TimeSpan LATENCY_RATIO_DECAY = TimeSpan.seconds(1);
    private static final TimeSpan DEMAND_DECAY = TimeSpan.seconds(30);
    private static final double INITIAL_REQUEST_SECONDS = 0.1;
    private static final double INITIAL_LOAD_SECONDS = 1;
    private static final double FUNCTION_PRIOR_WEIGHT = 2; // in requests
    private static final DecayTimes DECAY_TIMES =
            new DecayTimes(HEALTH_DECAY, RATE_DECAY, LATENCY_RATIO_DECAY, DEMAND_DECAY);
    private static final TypicalTimes.Priors TIME_PRIORS =
            new TypicalTimes.Priors(INITIAL_REQUEST_SECONDS, FUNCTION_PRIOR_WEIGHT, INITIAL_LOAD_SECONDS);
    private static final int VIRTUAL_NODES_PER_WORKER = 64;
    private static final int MAX_CACHED_WORKERS = 4; // of a function
    /** Workers examined in ring order for a request; if none has capacity, the fleet counts as overloaded. */
    static final int MAX_EXAMINED_WORKERS = 256;

    private static final double IN_FLIGHT_MARGIN = 1; // added to the mean number in flight on a worker
    /** A worker that has been silent for longer is assumed to have at least the mean attempts in flight. */
    private static final TimeSpan MAX_RESPONSE_AGE = TimeSpan.seconds(5);

    private static final double MAX_UNUSED_FUNCTION_REQUESTS = 0.01; // decayed count of recent requests
    private static final int UNSERVED_FUNCTIONS_PER_MB = 4; // of the memory limit
    private static final double RESPONSE_RESERVE_QUANTA = 2; // of the time left, reserved for the response
    private static final TimeSpan MIN_TIMEOUT = new TimeSpan(1);
    private static final double RETRY_AFTER_REQUEST_TIMES = 2;

    /**
     * How strictly capacity is checked: the largest ratio of a worker's attempts in flight to the mean, and
     * the factor by which its concurrency limit may be exceeded.
     */
    enum CapacityCheck {
        STRICT(1.5, 1),
        PACED(1.5, 1),
        RELAXED(3, 2.5);

        final double maxMeanRatio;
        final double overcommit;

        CapacityCheck(double maxMeanRatio, double overcommit) {
            this.maxMeanRatio = maxMeanRatio;
            this.overcommit = overcommit;
        }
    }

    private final RoutingSettings settings;
    private final SeededRandom random;
    private final RouterState state;
    private final PolicySnapshotMapper snapshotMapper;
    private final OutlierDetector outlierDetector;
    private final SlowStart slowStart;
    private final ReadinessLease readinessLease;
    private final RetryPolicy retryPolicy;
    private final InstancePreloader instancePreloader;
    private final ModelLoadLimiter loadLimiter;
    private final AdaptiveConcurrencyLimit concurrencyLimit;
    private final AttemptOutcomeHandler outcomeHandler;

    /**
     * Creates a policy for a process of the usual size.
     *
     * @param seed selects the sequence of random draws
     */
    public StickyFirstFitPolicy(long seed, RoutingSettings settings) {
        this(seed, settings, RoutingPolicy.DEFAULT_MEMORY_MB);
    }

    /**
     * @param seed selects the sequence of random draws
     * @param memoryMb the memory limit of the process, which limits the state that is kept
     */
    public StickyFirstFitPolicy(long seed, RoutingSettings settings, int memoryMb) {
        this(
                seed,
                new RouterState(
                        settings,
                        DECAY_TIMES,
                        TIME_PRIORS,
                        VIRTUAL_NODES_PER_WORKER,
                        UNSERVED_FUNCTIONS_PER_MB * memoryMb));
    }

    private StickyFirstFitPolicy(long seed, RouterState state) {
        super(state);
        this.state = state;
        settings = state.settings();
        random = new SeededRandom(seed);
        slowStart = new SlowStart(state);
        readinessLease = new ReadinessLease(state);
        loadLimiter = new ModelLoadLimiter(state, slowStart);
        concurrencyLimit = new AdaptiveConcurrencyLimit(state, loadLimiter);
        retryPolicy = new RetryPolicy(state);
        outlierDetector = new OutlierDetector(state, retryPolicy, random);
        instancePreloader = new InstancePreloader(state, slowStart, loadLimiter, readinessLease);
        outcomeHandler = new AttemptOutcomeHandler(state, loadLimiter, concurrencyLimit, outlierDetector);
        snapshotMapper = new PolicySnapshotMapper(state);
    }

    @Override
    protected void onStart() {
        state.emit(new Action.SetTimer(state.now().plus(TICK_INTERVAL), TICK_TIMER));
        if (settings.discovery().polled()) {
            state.emit(new Action.WatchEndpoints(true));
        }
    }

    @Override
    public PolicySnapshot snapshot(MonotonicTime now) {
        state.advanceTo(now);
        return snapshotMapper.write(loadLimiter::assumedInstances);
    }

    @Override
    protected void onTimerFired(String tag) {
        if (tag.equals(TICK_TIMER)) {
            onTick();
        } else if (tag.equals(ENDPOINTS_TIMER)) {
            state.emit(new Action.WatchEndpoints(true));
        } else if (tag.equals(READINESS_TIMER)) {
            readinessLease.takeOverdueRequests().forEach(request -> assign(request, null));
        }
    }

    private void onTick() {
        state.emit(new Action.SetTimer(state.now().plus(TICK_INTERVAL), TICK_TIMER));
        readinessLease.evaluate();
        outlierDetector.evaluate();
        slowStart.evaluate();
        loadLimiter.evaluate();
        instancePreloader.maintainInstances();
        instancePreloader.prewarmFunctions();
        state.functions().forEach(function -> function.cachedPlacements.removeIf(this::isUnused));
        state.removeFunctionsIf(this::isRemovable);
    }

    private boolean isUnused(Placement placement) {
        return placement.inFlight == 0 && loadLimiter.assumedInstances(placement) == 0;
    }

    private boolean isInUse(Placement placement) {
        return placement.inFlight + loadLimiter.assumedInstances(placement) > 0;
    }

    /** Returns whether a function is unused; functions that are called only once must not accumulate. */
    private boolean isRemovable(Function function) {
        return function.recentRequests.valueAt(state.now()) <= MAX_UNUSED_FUNCTION_REQUESTS
                && function.prewarmShare <= 0
                && function.cachedPlacements.isEmpty()
                && function.placements.values().stream().noneMatch(this::isInUse);
    }

    @Override
    protected void onEndpointsUpdated(Event.EndpointsUpdated update) {
        if (update.kind() == Event.EndpointUpdateKind.FAILED) {
            TimeSpan delay = MIN_ENDPOINTS_RETRY_DELAY.times(1 + random.next());
            state.emit(new Action.SetTimer(state.now().plus(delay), ENDPOINTS_TIMER));
        } else {
            state.endpoints().apply(update, slowStart::isWarmingUp);
        }
    }

    @Override
    protected void onEndpointListConfirmed(MonotonicTime asOf) {
        readinessLease.onListConfirmed(asOf);
    }

    @Override
    protected void onEndpointListUnconfirmed() {
        readinessLease.onListUnconfirmed();
    }

    @Override
    protected void onHealthCheckCompleted(Worker worker, Event.HealthCheckCompleted event) {
        readinessLease.onHealthCheckCompleted(worker, event).forEach(request -> assign(request, null));
    }

    @Override
    protected void onSnapshotRestored(PolicySnapshot snapshot) {
        snapshotMapper.restore(snapshot, this::cache);
    }

    @Override
    protected void onLoadCompleted(Placement placement, Event.LoadCompleted event) {
        instancePreloader.onLoadCompleted(placement, event);
        readinessLease.onLoadCompleted(placement.worker, event.outcome());
        if (event.instances() > 0 && state.isEligible(placement.worker)) {
            cache(placement);
        }
    }

    @Override
    protected void onRequestAdmitted(Request request) {
        retryPolicy.onRequestAdmitted();
        assign(request, null);
    }

    @Override
    protected void onAttemptEnded(Attempt attempt, Event.AttemptEnded event) {
        outcomeHandler.onAttemptEnded(attempt, event);
        readinessLease.onAttemptEnded(attempt, event);
        Request request = attempt.request;
        if (event.requestCompleted() || request.completed) {
            state.completeRequest(request);
        } else if (request.attemptsInFlight == 0) {
            retryOrAnswer(request, attempt, event);
        }
    }

    private void retryOrAnswer(Request request, Attempt last, Event.AttemptEnded event) {
        boolean needlessRefusal = AttemptOutcomeHandler.isNeedlessRefusal(event);
        if (retryPolicy.mayRetry(request, needlessRefusal)) {
            retryPolicy.onRetry(needlessRefusal);
            assign(request, event.outcome() == Outcome.ABSENT ? null : last.placement.worker);
        } else {
            answer(request);
        }
    }

    /** Sends the request to the first worker with capacity, once that holds a lease; else answers it. */
    private void assign(Request request, Worker avoided) {
        Placement placement = choosePlacement(request, avoided);
        if (placement == null) {
            answer(request);
        } else if (readinessLease.isHeldBy(placement.worker)) {
            cache(placement);
            send(request, placement);
        } else {
            awaitReadiness(request, placement.worker);
        }
    }

    private void awaitReadiness(Request request, Worker worker) {
        TimeSpan wait = readinessLease.await(request, worker);
        if (wait == null) {
            answer(request);
        } else {
            state.emit(new Action.SetTimer(state.now().plus(wait), READINESS_TIMER));
        }
    }

    /**
     * Chooses among the cached workers, then among all. Where workers accept load requests, a cached worker
     * that passes a relaxed check is preferred to a worker that may have to load the function.
     */
    private Placement choosePlacement(Request request, Worker avoided) {
        Placement placement = chooseCached(request, avoided, CapacityCheck.STRICT);
        if (placement == null) {
            placement = chooseCached(request, avoided, CapacityCheck.PACED);
        }
        boolean loadRequests = settings.instances().acceptsLoadRequests();
        if (placement == null && !loadRequests) {
            placement = chooseInRingOrder(request, avoided, CapacityCheck.STRICT);
        }
        if (placement == null) {
            placement = chooseCached(request, avoided, CapacityCheck.RELAXED);
        }
        if (placement == null && loadRequests) {
            placement = chooseInRingOrder(request, avoided, CapacityCheck.STRICT);
        }
        return placement != null ? placement : chooseInRingOrder(request, avoided, CapacityCheck.RELAXED);
    }

    private Placement chooseCached(Request request, Worker avoided, CapacityCheck check) {
        for (Placement placement : request.function.cachedPlacements) {
            if (placement.worker != avoided && hasCapacity(request, placement, check)) {
                return placement;
            }
        }
        return null;
    }

    private Placement chooseInRingOrder(Request request, Worker avoided, CapacityCheck check) {
        Function function = request.function;
        Predicate<Worker> fits = worker -> hasCapacity(request, function.placementOrEmpty(worker), check);
        Worker chosen = state.endpoints().firstInRingOrder(function, MAX_EXAMINED_WORKERS, avoided, fits);
        return chosen == null ? null : function.placementOn(chosen);
    }

    private void cache(Placement placement) {
        placement.function.cache(placement, MAX_CACHED_WORKERS);
    }

    /** Returns whether the worker has capacity for the request and all mechanisms admit it there. */
    private boolean hasCapacity(Request request, Placement placement, CapacityCheck requestedCheck) {
        Worker worker = placement.worker;
        if (!state.isAvailable(placement) || !hasInstanceCapacity(placement)) {
            return false;
        }
        CapacityCheck check = hasCachedInstance(placement.function) ? requestedCheck : CapacityCheck.RELAXED;
        double meanInFlight = state.meanAttemptsInFlight();
        double limit = concurrencyLimit.limit(worker, check);
        return assumedInFlight(worker, meanInFlight) <= check.maxMeanRatio * (meanInFlight + IN_FLIGHT_MARGIN)
                && concurrencyLimit.admits(request, placement, check, limit)
                && retryPolicy.maySendTo(request, worker)
                && slowStart.admits(worker)
                && readinessLease.isObtainable(worker)
                && loadLimiter.admits(placement);
    }

    private boolean hasInstanceCapacity(Placement placement) {
        int instances = loadLimiter.assumedInstances(placement) + 1;
        return placement.inFlight < placement.function.concurrency * instances;
    }

    private boolean hasCachedInstance(Function function) {
        return function.cachedPlacements.stream().anyMatch(loadLimiter::hasAssumedInstance);
    }

    private double assumedInFlight(Worker worker, double meanInFlight) {
        MonotonicTime lastResponseAt = worker.lastResponseAt;
        boolean respondedRecently =
                lastResponseAt != null && !state.age(lastResponseAt).isLongerThan(MAX_RESPONSE_AGE);
        int inFlight = worker.attemptsInFlight.size();
        return respondedRecently ? inFlight : Math.max(inFlight, meanInFlight);
    }

    private void send(Request request, Placement placement) {
        boolean assumedWarm = loadLimiter.assumedInstances(placement) > 0;
        loadLimiter.onAttemptSent(placement);
        state.addAttempt(new Attempt(request, placement, state.now(), assumedWarm));
        slowStart.onAttemptSent(placement.worker);
        TimeSpan responseReserve = settings.quantum().times(RESPONSE_RESERVE_QUANTA);
        TimeSpan timeout = state.timeLeft(request).minus(responseReserve).atLeast(MIN_TIMEOUT);
        MonotonicTime sendBefore = readinessLease.sendBefore(placement.worker);
        state.emit(new Action.SendAttempt(request.id, placement.worker.id, timeout, sendBefore));
    }

    /** Gives the final answer if no attempt succeeded: a rejection if a retry is harmless, else a failure. */
    private void answer(Request request) {
        if (request.completed || request.streaming) {
            return;
        }
        if (retryPolicy.mayReject(request)) {
            state.emit(new Action.Reject(request.id, retryAfter(request.function)));
        } else {
            state.emit(new Action.Fail(request.id));
        }
        state.completeRequest(request);
    }

    private TimeSpan retryAfter(Function function) {
        TimeSpan pause = state.typicalTimes().requestTime(function).times(RETRY_AFTER_REQUEST_TIMES);
        TimeSpan bounded = pause.atMost(settings.attemptLimits().maxRetryAfter());
        return settings.attemptLimits().retryAfter() ? bounded : TimeSpan.ZERO;
    }
}
