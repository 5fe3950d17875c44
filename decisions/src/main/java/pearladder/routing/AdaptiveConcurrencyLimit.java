package pearladder.routing;

import pearladder.routing.StickyFirstFitPolicy.CapacityCheck;
import pearladder.routing.api.MonotonicTime;
import pearladder.routing.api.RoutingSettings;
import pearladder.routing.api.TimeSpan;
import pearladder.routing.state.Attempt;
import pearladder.routing.state.Placement;
import pearladder.routing.state.Request;
import pearladder.routing.state.RouterState;
import pearladder.routing.state.Worker;

/** How many requests of this router a worker takes at once, learnt from latencies and refusals. */
final class AdaptiveConcurrencyLimit {
    /** How long a worker that refused as full is skipped and its limit not reduced again. */
    static final TimeSpan OVERLOAD_PAUSE = TimeSpan.millis(300);

    /** The initial limit, where routers are few. */
    static final double INITIAL_LIMIT = 4;

    private static final double FEW_ROUTERS = 3; // more of them share what is meant for three
    private static final double TARGET_LATENCY = 0.3; // of the latency objective
    private static final double MAX_LATENCY_RATIO = 1.8; // to the target; above, no check exceeds the limit
    private static final double MIN_DECREASE = 0.6;
    private static final double MAX_DECREASE = 0.85;
    private static final double PACE_INCREASE = 0.15; // relative, while the limit is below one
    private static final int INCREASE_HEADROOM = 2; // the limit grows only when used up to here

    private final RouterState state;
    private final ModelLoadLimiter loadLimiter;
    private final double fairShare;

    AdaptiveConcurrencyLimit(RouterState state, ModelLoadLimiter loadLimiter) {
        this.state = state;
        this.loadLimiter = loadLimiter;
        this.fairShare = fairShare(state.settings());
    }

    /** Our part of what may be sent where routers are many and none sees the others' requests. */
    static double fairShare(RoutingSettings settings) {
        return Math.min(1, FEW_ROUTERS / settings.routerCount());
    }

    /** The limit as a check applies it: overcommitted where the check allows it and the worker is quick. */
    double limit(Worker worker, CapacityCheck check) {
        return limit(worker) * (latencyRatio(worker) > MAX_LATENCY_RATIO ? 1 : check.overcommit);
    }

    private double limit(Worker worker) {
        return worker.concurrencyLimit > 0 ? worker.concurrencyLimit : INITIAL_LIMIT * fairShare;
    }

    /** The mean latency of recent warm responses, in target latencies. */
    private double latencyRatio(Worker worker) {
        return worker.latencyRatio.weight(state.now()) <= 0 ? 0 : worker.latencyRatio.valueAt(state.now());
    }

    // Below one request the limit is a pace: first the worker's, then the function's there, so that heavy
    // functions leave and light ones stay. Past it a worker with an instance still takes the request while
    // its warm responses are quicker than a load elsewhere is likely to be.
    boolean admits(Request request, Placement placement, CapacityCheck check, double limit) {
        Worker worker = placement.worker;
        MonotonicTime lastSentAt = check == CapacityCheck.STRICT ? worker.sentAt : placement.sentAt;
        if (limit >= 1 || lastSentAt == null) {
            return worker.warmAttemptsInFlight() + 1 <= Math.max(1, limit);
        }
        if (placement.inFlight == 0 && isPaceKept(placement, lastSentAt, limit)) {
            return true;
        }
        double warmLatency = latencyRatio(worker) * TARGET_LATENCY * objectiveSeconds(request);
        return check != CapacityCheck.STRICT
                && loadLimiter.hasAssumedInstance(placement)
                && warmLatency < likelyLoadSeconds(placement);
    }

    private boolean isPaceKept(Placement placement, MonotonicTime lastSentAt, double limit) {
        TimeSpan requestTime = state.typicalTimes().requestTime(placement.function);
        return state.age(lastSentAt).times(limit).isLongerThan(requestTime);
    }

    private static double objectiveSeconds(Request request) {
        return request.requestClass.latencyObjective().toSeconds();
    }

    private double likelyLoadSeconds(Placement placement) {
        return loadLimiter.coldLoadRatio() * state.typicalTimes().loadSeconds(placement.function);
    }

    /** Adjusts the limit to the latency of a response from an instance that was already loaded. */
    void onWarmResponse(Attempt attempt, double seconds) {
        Request request = attempt.request;
        Worker worker = attempt.placement.worker;
        double weight = request.requestClass.priorityWeight();
        if (state.settings().attemptLimits().weightByWork() && request.workEstimate != null) {
            weight *= request.workEstimate.toSeconds();
        }
        double weightedRatio = weight * seconds / objectiveSeconds(request);
        worker.latencyRatio.addWeighted(state.now(), weightedRatio, weight * TARGET_LATENCY);
        if (latencyRatio(worker) > 1) {
            double factor = Math.min(MAX_DECREASE, 1 / latencyRatio(worker));
            decrease(worker, Math.max(MIN_DECREASE, factor));
        } else if (worker.warmAttemptsInFlight() + INCREASE_HEADROOM > limit(worker)) {
            double limit = limit(worker);
            worker.concurrencyLimit = limit + (limit < 1 ? PACE_INCREASE * limit : fairShare / limit);
        }
    }

    /** Reduces the limit to a factor of what is in use, unless it was reduced just before. */
    void decrease(Worker worker, double factor) {
        if (!state.isPending(worker.nextLimitReductionAt)) {
            double used = Math.min(limit(worker), worker.warmAttemptsInFlight() + 1);
            worker.concurrencyLimit = Math.max(fairShare * fairShare, used * factor);
            worker.nextLimitReductionAt = state.now().plus(OVERLOAD_PAUSE);
        }
    }
}
