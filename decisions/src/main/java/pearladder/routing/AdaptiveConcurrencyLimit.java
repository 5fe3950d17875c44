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

/** Limits the concurrent requests of this router at each worker, adapted to latencies and refusals. */
final class AdaptiveConcurrencyLimit {
    /** How long a worker that refused as full is skipped, and the shortest time between two decreases. */
    static final TimeSpan OVERLOAD_PAUSE = TimeSpan.millis(300);

    /** The initial limit, before it is scaled by the fair share. */
    static final double INITIAL_LIMIT = 4;

    private static final double FULL_SHARE_ROUTERS = 3; // more routers divide the share of three among them
    private static final double TARGET_LATENCY_SHARE = 0.3; // of the latency objective
    private static final double MAX_OVERCOMMIT_LATENCY_RATIO = 1.8; // to the target; above it, no overcommit
    private static final double MIN_DECREASE_FACTOR = 0.6;
    private static final double MAX_DECREASE_FACTOR = 0.85;
    private static final double PACED_LIMIT_INCREASE = 0.15; // relative, while the limit is below one
    private static final int INCREASE_HEADROOM = 2; // unused requests from which the limit stops growing

    private final RouterState state;
    private final ModelLoadLimiter loadLimiter;
    private final double fairShare;

    AdaptiveConcurrencyLimit(RouterState state, ModelLoadLimiter loadLimiter) {
        this.state = state;
        this.loadLimiter = loadLimiter;
        this.fairShare = fairShare(state.settings());
    }

    /** Returns this router's share, up to 1, of what may be sent, as no router sees the others' requests. */
    static double fairShare(RoutingSettings settings) {
        return Math.min(1, FULL_SHARE_ROUTERS / settings.routerCount());
    }

    /** Returns the limit that a check applies: overcommitted if the check permits and the worker is quick. */
    double limit(Worker worker, CapacityCheck check) {
        return limit(worker) * (latencyRatio(worker) > MAX_OVERCOMMIT_LATENCY_RATIO ? 1 : check.overcommit);
    }

    private double limit(Worker worker) {
        return worker.concurrencyLimit > 0 ? worker.concurrencyLimit : INITIAL_LIMIT * fairShare;
    }

    /** Returns the mean ratio of the latency of recent warm responses to their target latency. */
    private double latencyRatio(Worker worker) {
        return worker.latencyRatio.weight(state.now()) <= 0 ? 0 : worker.latencyRatio.valueAt(state.now());
    }

    // A limit below one request spaces requests in time: all those to the worker for the strict check, only
    // those of the function for the other checks, so that heavy functions move away and light ones stay. The
    // other checks admit further requests if an instance is loaded and the worker's warm responses are
    // quicker than the likely load elsewhere.
    boolean admits(Request request, Placement placement, CapacityCheck check, double limit) {
        Worker worker = placement.worker;
        MonotonicTime lastSentAt = check == CapacityCheck.STRICT ? worker.sentAt : placement.sentAt;
        if (limit >= 1 || lastSentAt == null) {
            return worker.warmAttemptsInFlight() + 1 <= Math.max(1, limit);
        }
        if (placement.inFlight == 0 && isPacingIntervalOver(placement, lastSentAt, limit)) {
            return true;
        }
        double warmLatency = latencyRatio(worker) * TARGET_LATENCY_SHARE * objectiveSeconds(request);
        return check != CapacityCheck.STRICT
                && loadLimiter.hasAssumedInstance(placement)
                && warmLatency < likelyLoadSeconds(placement);
    }

    private boolean isPacingIntervalOver(Placement placement, MonotonicTime lastSentAt, double limit) {
        TimeSpan requestTime = state.typicalTimes().requestTime(placement.function);
        return state.age(lastSentAt).times(limit).isLongerThan(requestTime);
    }

    private static double objectiveSeconds(Request request) {
        return request.requestClass.latencyObjective().toSeconds();
    }

    private double likelyLoadSeconds(Placement placement) {
        return loadLimiter.coldLoadRatio() * state.typicalTimes().loadSeconds(placement.function);
    }

    /** Adapts the limit to the latency of a response from an instance that was already loaded. */
    void onWarmResponse(Attempt attempt, double seconds) {
        Request request = attempt.request;
        Worker worker = attempt.placement.worker;
        double weight = request.requestClass.priorityWeight();
        if (state.settings().attemptLimits().weightByWork() && request.workEstimate != null) {
            weight *= request.workEstimate.toSeconds();
        }
        double weightedRatio = weight * seconds / objectiveSeconds(request);
        worker.latencyRatio.addWeighted(state.now(), weightedRatio, weight * TARGET_LATENCY_SHARE);
        if (latencyRatio(worker) > 1) {
            double factor = Math.min(MAX_DECREASE_FACTOR, 1 / latencyRatio(worker));
            decrease(worker, Math.max(MIN_DECREASE_FACTOR, factor));
        } else if (worker.warmAttemptsInFlight() + INCREASE_HEADROOM > limit(worker)) {
            double limit = limit(worker);
            worker.concurrencyLimit = limit + (limit < 1 ? PACED_LIMIT_INCREASE * limit : fairShare / limit);
        }
    }

    /** Reduces the limit to the given factor of the part in use, unless it was reduced just before. */
    void decrease(Worker worker, double factor) {
        if (!state.isPending(worker.nextLimitReductionAt)) {
            double used = Math.min(limit(worker), worker.warmAttemptsInFlight() + 1);
            worker.concurrencyLimit = Math.max(fairShare * fairShare, used * factor);
            worker.nextLimitReductionAt = state.now().plus(OVERLOAD_PAUSE);
        }
    }
}
