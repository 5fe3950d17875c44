package pearladder.routing;

import pearladder.routing.api.Action;
import pearladder.routing.api.Event;
import pearladder.routing.api.Outcome;
import pearladder.routing.api.TimeSpan;
import pearladder.routing.state.Function;
import pearladder.routing.state.LoadQuotaCounter;
import pearladder.routing.state.Placement;
import pearladder.routing.state.RouterState;

/**
 * Asks workers to load instances: renews those in use before they are idle for too long, adds one where requests
 * crowd, and prewarms functions on demand, all within the load quota. Does nothing where workers take no such requests.
 */
final class InstancePreloader {
    private static final double RENEWAL_SHARE = 0.55; // of the idle timeout, after which instances are renewed
    private static final long MIN_REQUESTS = 2; // of a function, in all
    private static final double MIN_RECENT_REQUESTS = 0.5;
    private static final int MAX_INSTANCES = 4; // to which one is added where requests crowd
    private static final int MAX_REQUESTED_INSTANCES = 16; // by one load request
    private static final double LOAD_TIMEOUT = 2; // typical load times for which a load request is awaited
    private static final double PREWARM_QUOTA_SHARE = 0.5; // the rest is left for requests that are here

    private final RouterState state;
    private final SlowStart slowStart;
    private final ModelLoadLimiter loadLimiter;
    private final LoadQuotaCounter quotaCounter;
    private final boolean allowed;
    private final TimeSpan renewalAge;

    InstancePreloader(RouterState state, SlowStart slowStart, ModelLoadLimiter loadLimiter) {
        this.state = state;
        this.slowStart = slowStart;
        this.loadLimiter = loadLimiter;
        this.quotaCounter = new LoadQuotaCounter(state.settings().loadQuota());
        this.allowed = state.settings().instances().acceptsLoadRequests();
        this.renewalAge = state.settings().instances().idleTimeout().times(RENEWAL_SHARE);
    }

    LoadQuotaCounter quotaCounter() {
        return quotaCounter;
    }

    void onRequestAdmitted() {
        quotaCounter.addAdmittedRequest(state.now());
    }

    /** Renews the instances in use and adds some where requests crowd, once a tick. */
    void maintainInstances() {
        if (!allowed) {
            return;
        }
        for (Function function : state.functions()) {
            if (isInDemand(function)) {
                renewFirst(function);
                function.cachedPlacements.forEach(this::addInstanceIfCrowded);
            }
        }
    }

    private boolean isInDemand(Function function) {
        return function.requestCount >= MIN_REQUESTS
                && !function.cachedPlacements.isEmpty()
                && function.recentRequests.read(state.now()) >= MIN_RECENT_REQUESTS;
    }

    private void renewFirst(Function function) {
        Placement first = function.cachedPlacements.get(0);
        if (needsRenewal(first)) {
            requestLoad(first, 1);
        }
    }

    private boolean needsRenewal(Placement placement) {
        return loadLimiter.assumedInstances(placement) > 0
                && state.age(placement.renewedAt).isLongerThan(renewalAge);
    }

    private void addInstanceIfCrowded(Placement placement) {
        boolean awaited = isLoadAwaited(placement);
        int instances = loadLimiter.assumedInstances(placement);
        boolean crowded = instances > 0
                && instances < MAX_INSTANCES
                && placement.inFlight > placement.function.concurrency * instances;
        if (crowded && !awaited && placement.worker.reportedLoads < 1 && loadLimiter.hasMemory(placement)) {
            requestLoad(placement, instances + 1);
        }
    }

    private boolean isLoadAwaited(Placement placement) {
        if (placement.loadRequestedAt == null) {
            return false;
        }
        TimeSpan timeout = state.typicalTimes().loadTime(placement.function).times(LOAD_TIMEOUT);
        return !state.age(placement.loadRequestedAt).isLongerThan(timeout);
    }

    /**
     * Loads instances before a function's requests, where that is wanted: one load request at a time, within the same
     * quota and load limit as any other, and only while a part of the quota is left. Loaded ones are renewed.
     */
    void prewarm(Function function) {
        int loaded = countInstances(function);
        double wanted = wantedInstances(function, loaded);
        boolean complete = !allowed || loaded >= wanted;
        double progress = complete ? 1 : loaded / wanted;
        state.emit(new Action.PrewarmProgress(function.id, function.prewarmShare * progress));
        if (!allowed || !quotaCounter.allows(state.now(), PREWARM_QUOTA_SHARE)) {
            return;
        }
        boolean loading = false;
        for (Placement placement : function.placements.values()) {
            loading |= isLoading(placement);
            if (needsRenewal(placement)) {
                requestLoad(placement, 1);
            }
        }
        if (!complete && !loading) {
            state.endpoints().firstInRingOrder(function, worker -> requestFirstLoad(function.placementOn(worker)));
        }
    }

    private double wantedInstances(Function function, int loaded) {
        Function reference = function.prewarmReference;
        if (reference == function) {
            return loaded;
        }
        int referenceInstances = reference == null ? 1 : countInstances(reference);
        double wanted = reference == null ? 1 : Math.ceil(function.prewarmShare * referenceInstances);
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
        if (!allowed || !state.isEligible(placement.worker) || !quotaCounter.allows(state.now(), 1)) {
            return false;
        }
        quotaCounter.addLoadRequest(state.now());
        placement.loadRequestedAt = state.now();
        placement.renewedAt = state.now();
        int requested = Math.min(MAX_REQUESTED_INSTANCES, instances);
        state.emit(new Action.LoadInstances(placement.worker.id, placement.function.id, requested));
        return true;
    }

    void onLoadCompleted(Placement placement, Event.LoadCompleted event) {
        if (event.outcome() == Outcome.SUCCESS || event.instances() > 0) {
            placement.instances = event.instances();
            placement.renewedAt = state.now();
        } else if (event.outcome() == Outcome.ERROR) {
            placement.instances = 0;
            loadLimiter.onLoadFailed();
        }
    }
}
