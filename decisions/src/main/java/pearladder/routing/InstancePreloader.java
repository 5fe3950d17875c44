package pearladder.routing;

import java.util.function.Predicate;
import pearladder.routing.api.Action;
import pearladder.routing.api.Event;
import pearladder.routing.api.MonotonicTime;
import pearladder.routing.api.Outcome;
import pearladder.routing.api.TimeSpan;
import pearladder.routing.state.Function;
import pearladder.routing.state.Placement;
import pearladder.routing.state.RouterState;
import pearladder.routing.state.Worker;

/** Sends load requests that renew instances in use, add instances where needed and prewarm functions. */
final class InstancePreloader {
    private static final double RENEWAL_AGE_SHARE = 0.55; // of the idle timeout
    private static final long MIN_TOTAL_REQUESTS = 2; // of a function since it became known
    private static final double MIN_RECENT_REQUESTS = 0.5;
    private static final int MAX_INSTANCES_PER_PLACEMENT = 4; // reached by adding where saturated
    private static final int MAX_REQUESTED_INSTANCES = 16; // by one load request
    private static final double LOAD_TIMEOUT_FACTOR = 2; // in typical load times
    private static final double PREWARM_QUOTA_SHARE = 0.5; // the rest is kept for admitted requests

    private final RouterState state;
    private final SlowStart slowStart;
    private final ModelLoadLimiter loadLimiter;
    private final ReadinessLease readinessLease;
    private final boolean loadRequestsAccepted;
    private final TimeSpan renewalAge;

    InstancePreloader(RouterState state, SlowStart slowStart, ModelLoadLimiter loads, ReadinessLease lease) {
        this.state = state;
        this.slowStart = slowStart;
        this.loadLimiter = loads;
        this.readinessLease = lease;
        this.loadRequestsAccepted = state.settings().instances().acceptsLoadRequests();
        this.renewalAge = state.settings().instances().idleTimeout().times(RENEWAL_AGE_SHARE);
    }

    /** Renews the instances in use and adds instances to saturated workers; called once a tick. */
    void maintainInstances() {
        if (!loadRequestsAccepted) {
            return;
        }
        for (Function function : state.functions()) {
            if (isInDemand(function)) {
                renewIfDue(function.cachedPlacements.get(0));
                function.cachedPlacements.forEach(this::addInstanceIfSaturated);
            }
        }
    }

    private boolean isInDemand(Function function) {
        return function.requestCount >= MIN_TOTAL_REQUESTS
                && !function.cachedPlacements.isEmpty()
                && function.recentRequests.valueAt(state.now()) >= MIN_RECENT_REQUESTS;
    }

    private void renewIfDue(Placement placement) {
        if (loadLimiter.hasAssumedInstance(placement)
                && state.age(placement.renewedAt).isLongerThan(renewalAge)) {
            requestLoad(placement, 1);
        }
    }

    private void addInstanceIfSaturated(Placement placement) {
        boolean awaited = isLoadAwaited(placement);
        int instances = loadLimiter.assumedInstances(placement);
        boolean saturated = instances > 0
                && instances < MAX_INSTANCES_PER_PLACEMENT
                && placement.inFlight > placement.function.concurrency * instances;
        if (saturated && !awaited && placement.worker.reportedLoads < 1 && loadLimiter.hasMemory(placement)) {
            requestLoad(placement, instances + 1);
        }
    }

    private boolean isLoadAwaited(Placement placement) {
        if (placement.loadRequestedAt == null) {
            return false;
        }
        TimeSpan timeout = state.typicalTimes().loadTime(placement.function).times(LOAD_TIMEOUT_FACTOR);
        return !state.age(placement.loadRequestedAt).isLongerThan(timeout);
    }

    /** Prewarms the functions for which prewarming was requested; called once a tick. */
    void prewarmFunctions() {
        state.functions().stream().filter(function -> function.prewarmShare > 0).forEach(this::prewarm);
    }

    // Loads one instance at a time, within the quota and load limit of all load requests, and only within the
    // prewarming share of the quota. Instances that are already loaded are renewed.
    private void prewarm(Function function) {
        int loaded = countInstances(function);
        double wanted = wantedInstances(function, loaded);
        boolean complete = !loadRequestsAccepted || loaded >= wanted;
        double progress = complete ? 1 : loaded / wanted;
        state.emit(new Action.PrewarmProgress(function.id, function.prewarmShare * progress));
        if (!loadRequestsAccepted || !state.loadQuota().allows(state.now(), PREWARM_QUOTA_SHARE)) {
            return;
        }
        boolean loading = false;
        for (Placement placement : function.placements.values()) {
            loading |= isLoading(placement);
            renewIfDue(placement);
        }
        if (!complete && !loading) {
            Predicate<Worker> requestLoad = worker -> requestFirstLoad(function.placementOn(worker));
            state.endpoints().firstInRingOrder(function, Integer.MAX_VALUE, null, requestLoad);
        }
    }

    private double wantedInstances(Function function, int loaded) {
        Function reference = function.prewarmReference;
        if (reference == function) {
            return loaded;
        }
        double wanted = reference == null ? 1 : Math.ceil(function.prewarmShare * countInstances(reference));
        return Math.max(1, wanted);
    }

    private boolean isLoading(Placement placement) {
        return placement.loading
                || placement.loadRequestedAt != null
                        && loadLimiter.assumedInstances(placement) == 0
                        && isLoadAwaited(placement);
    }

    private boolean requestFirstLoad(Placement placement) {
        return loadLimiter.assumedInstances(placement) == 0
                && slowStart.admits(placement.worker)
                && loadLimiter.admits(placement)
                && requestLoad(placement, 1);
    }

    private int countInstances(Function function) {
        return function.placements.values().stream()
                .mapToInt(loadLimiter::assumedInstances)
                .sum();
    }

    /** Returns whether the load was requested. */
    private boolean requestLoad(Placement placement, int instances) {
        if (!loadRequestsAccepted
                || !state.isEligible(placement.worker)
                || !state.loadQuota().allows(state.now(), 1)
                || !readinessLease.isHeldOrRequested(placement.worker)) {
            return false;
        }
        state.loadQuota().addLoadRequest(state.now());
        placement.loadRequestedAt = state.now();
        placement.renewedAt = state.now();
        int requested = Math.min(MAX_REQUESTED_INSTANCES, instances);
        Worker worker = placement.worker;
        MonotonicTime sendBefore = readinessLease.sendBefore(worker);
        state.emit(new Action.LoadInstances(worker.id, placement.function.id, requested, sendBefore));
        return true;
    }

    void onLoadCompleted(Placement placement, Event.LoadCompleted event) {
        if (event.outcome() == Outcome.SUCCESS || event.instances() > 0) {
            placement.instances = event.instances();
            if (event.instances() > 0) {
                state.onServed(placement.function);
            }
            placement.renewedAt = state.now();
        } else if (event.outcome() == Outcome.ERROR) {
            placement.instances = 0;
            loadLimiter.onLoadFailed();
        }
    }
}
