package pearladder.routing;

import pearladder.routing.api.RoutingSettings.SlowStartSettings;
import pearladder.routing.state.RouterState;
import pearladder.routing.state.Worker;

/** Limits the rate of requests to a worker that has just started to this router's share of its capacity. */
final class SlowStart {
    private static final double SAFE_RATE_SHARE = 0.6; // of the rate that would overload a warming worker
    private static final double INITIAL_TOKENS = 0.5;
    private static final double BURST_SHARE = 0.5; // of the requests allowed within the overload time

    private final RouterState state;
    private final SlowStartSettings settings;
    private double meanWarmSuccessesPerSecond; // of workers not warming up

    SlowStart(RouterState state) {
        this.state = state;
        this.settings = state.settings().slowStart();
    }

    /** Updates the mean rate of successes at warm workers; called once a tick. */
    void evaluate() {
        state.endpoints().warmingUp().removeIf(worker -> !isWarmingUp(worker));
        double total = state.endpoints().contacted().stream()
                .filter(worker -> !isWarmingUp(worker))
                .mapToDouble(worker -> worker.successes.perSecond(state.now()))
                .sum();
        int warm = state.workerCount() - state.endpoints().warmingUp().size();
        meanWarmSuccessesPerSecond = total / Math.max(1, warm);
    }

    boolean isWarmingUp(Worker worker) {
        return worker.startedAt != null && settings.warmUpTime().isLongerThan(state.age(worker.startedAt));
    }

    /** Refills the worker's tokens and returns whether it may be sent a request now. */
    boolean admits(Worker worker) {
        if (!isWarmingUp(worker)) {
            return true;
        }
        double rate = allowedRequestsPerSecond(worker);
        double maxTokens = Math.max(1, rate * settings.overloadTime().toSeconds() * BURST_SHARE);
        worker.slowStartTokens.refill(state.now(), rate, maxTokens, INITIAL_TOKENS);
        return worker.slowStartTokens.hasToken();
    }

    private double allowedRequestsPerSecond(Worker worker) {
        double progress = state.age(worker.startedAt).dividedBy(settings.warmUpTime());
        double initialShare = settings.initialCapacityShare();
        double capacityShare = initialShare + (1 - initialShare) * Math.max(0, progress);
        return SAFE_RATE_SHARE * settings.overloadFactor() * capacityShare * meanWarmSuccessesPerSecond;
    }

    void onAttemptSent(Worker worker) {
        if (isWarmingUp(worker)) {
            worker.slowStartTokens.removeToken();
        }
    }
}
