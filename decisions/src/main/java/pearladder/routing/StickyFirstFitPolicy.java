package pearladder.routing;

import java.util.function.Predicate;
import pearladder.routing.api.Action;
import pearladder.routing.api.Event;
import pearladder.routing.api.MonotonicTime;
import pearladder.routing.api.Outcome;
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
 * All decisions of one router: sticky first fit, with the mechanisms that the package description explains.
 *
 * <p>It reads no clock and shares nothing with other instances; it is called on one thread.
 */
public final class StickyFirstFitPolicy extends EventDrivenPolicy {
    private static final TimeSpan TICK = TimeSpan.millis(100);
    private static final String TICK_TIMER = "beat";
    private static final String ENDPOINTS_TIMER = "list";
    private static final String READINESS_TIMER = "readiness";
    private static final TimeSpan ENDPOINTS_RETRY = TimeSpan.millis(200); // to twice that, at random
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
    private static final int VIRTUAL_NODES = 64; // of each worker on the ring
    private static final int MAX_CACHED_WORKERS = 4; // of a function
    /** In ring order, for a request: a fleet of which so many have no capacity is overloaded. */
    static final int MAX_EXAMINED_WORKERS = 256;

    private static final double SPARE_ATTEMPTS = 1; // beside the mean in flight on a worker
    private static final TimeSpan HEARD_WITHIN = TimeSpan.seconds(5); // else a worker counts as the mean
    private static final double FORGOTTEN_REQUESTS = 0.01; // decayed, below which a function is dropped
    private static final double SEND_QUANTA = 2; // left of the deadline for the response
    private static final TimeSpan MIN_TIMEOUT = new TimeSpan(1);
    private static final double RETRY_AFTER_REQUESTS = 2; // typical request times

    /** How strictly capacity is judged: in mean attempts in flight on a worker, and in concurrency limits. */
    enum CapacityCheck {
        STRICT(1.5, 1),
        PACED(1.5, 1),
        RELAXED(3, 2.5);

        final double maxOverMean;
        final double overcommit;

        CapacityCheck(double maxOverMean, double overcommit) {
            this.maxOverMean = maxOverMean;
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

    /** @param seed selects the sequence of random draws */
    public StickyFirstFitPolicy(long seed, RoutingSettings settings) {
        this(seed, new RouterState(settings, DECAY_TIMES, TIME_PRIORS, VIRTUAL_NODES));
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
        state.emit(new Action.SetTimer(state.now().plus(TICK), TICK_TIMER));
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
        state.emit(new Action.SetTimer(state.now().plus(TICK), TICK_TIMER));
        readinessLease.evaluate();
        outlierDetector.evaluate();
        slowStart.evaluate();
        loadLimiter.evaluate();
        instancePreloader.maintainInstances();
        instancePreloader.prewarmFunctions();
        state.functions().forEach(function -> function.cachedPlacements.removeIf(this::isUnused));
        state.removeFunctionsIf(this::isForgotten);
    }

    private boolean isUnused(Placement placement) {
        return placement.inFlight == 0 && loadLimiter.assumedInstances(placement) == 0;
    }

    private boolean isHeld(Placement placement) {
        return placement.inFlight + loadLimiter.assumedInstances(placement) > 0;
    }

    /** Unused functions are dropped, as those that are called only once would pile up. */
    private boolean isForgotten(Function function) {
        return function.recentRequests.valueAt(state.now()) <= FORGOTTEN_REQUESTS
                && function.prewarmShare <= 0
                && function.cachedPlacements.isEmpty()
                && function.placements.values().stream().noneMatch(this::isHeld);
    }

    @Override
    protected void onEndpointsUpdated(Event.EndpointsUpdated update) {
        if (update.kind() == Event.EndpointUpdateKind.FAILED) {
            TimeSpan delay = ENDPOINTS_RETRY.times(1 + random.next());
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

    /** Sends the request to the first worker with capacity, once that is known to be ready, or answers. */
    private void assign(Request request, Worker avoided) {
        Placement placement = choose(request, avoided);
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

    /** Cached workers, then all; where workers take load requests, rather a relaxed check than a load. */
    private Placement choose(Request request, Worker avoided) {
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

    /** Capacity for the function there, and the worker's attempts in flight against the fleet's mean. */
    private boolean hasCapacity(Request request, Placement placement, CapacityCheck wantedCheck) {
        Worker worker = placement.worker;
        if (!state.isAvailable(placement) || !hasInstanceCapacity(placement)) {
            return false;
        }
        CapacityCheck check = hasCachedInstance(placement.function) ? wantedCheck : CapacityCheck.RELAXED;
        double mean = state.meanAttemptsInFlight();
        double limit = concurrencyLimit.limit(worker, check);
        return assumedInFlight(worker, mean) <= check.maxOverMean * (mean + SPARE_ATTEMPTS)
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

    private double assumedInFlight(Worker worker, double mean) {
        MonotonicTime heardAt = worker.lastResponseAt;
        boolean heard = heardAt != null && !state.age(heardAt).isLongerThan(HEARD_WITHIN);
        int inFlight = worker.attemptsInFlight.size();
        return heard ? inFlight : Math.max(inFlight, mean);
    }

    private void send(Request request, Placement placement) {
        boolean assumedWarm = loadLimiter.assumedInstances(placement) > 0;
        loadLimiter.onAttemptSent(placement);
        state.addAttempt(new Attempt(request, placement, state.now(), assumedWarm));
        slowStart.onAttemptSent(placement.worker);
        TimeSpan reserve = settings.quantum().times(SEND_QUANTA);
        TimeSpan timeout = state.timeLeft(request).minus(reserve).atLeast(MIN_TIMEOUT);
        MonotonicTime sendBefore = readinessLease.sendBefore(placement.worker);
        state.emit(new Action.SendAttempt(request.id, placement.worker.id, timeout, sendBefore));
    }

    /** The final answer where no attempt succeeded: a rejection where trying again is harmless. */
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
        TimeSpan pause = state.typicalTimes().requestTime(function).times(RETRY_AFTER_REQUESTS);
        TimeSpan bounded = pause.atMost(settings.attemptLimits().maxRetryAfter());
        return settings.attemptLimits().retryAfter() ? bounded : TimeSpan.ZERO;
    }
}
