package pearladder.routing;

import pearladder.routing.api.RoutingSettings.SlowStartSettings;
import pearladder.routing.api.TimeSpan;
import pearladder.routing.state.RouterState;
import pearladder.routing.state.Worker;

/**
 * Limits the rate of requests to a worker that has just started to our part of what it can take.
 *
 * <p>Our own rate of successes on a warm worker is, at the least, our part of a warm worker's capacity. A worker that
 * is warming up gets its present share of that, times the overload factor of the settings, with a margin, through a
 * token bucket. Drawback: while we have had few successes, it warms up slowly.
 */
final class SlowStart {
    private static final double MARGIN = 0.6; // of the rate at which a warming worker would be overloaded
    private static final double INITIAL_TOKENS = 0.5;
    private static final double BURST_SHARE = 0.5; // of the requests that overload a worker, sent at once

    private final RouterState state;
    private final SlowStartSettings settings;
    private double successesPerSecond; // mean over the warm workers

    SlowStart(RouterState state) {
        this.state = state;
        this.settings = state.settings().slowStart();
    }

    /** Updates the mean rate at warm workers, once a tick. */
    void evaluate() {
        state.endpoints().warmingUp().removeIf(worker -> !isWarmingUp(worker));
        double total = state.endpoints().contacted().stream()
                .filter(worker -> !isWarmingUp(worker))
                .mapToDouble(worker -> worker.successes.perSecond(state.now()))
                .sum();
        int inService = state.endpoints().inService().size();
        int warm = inService - state.endpoints().warmingUp().size();
        successesPerSecond = total / Math.max(1, warm);
    }

    boolean isWarmingUp(Worker worker) {
        return worker.startedAt != null && settings.warmUpTime().isLongerThan(state.age(worker.startedAt));
    }

    /** Whether the worker may be sent a request now; tops up its tokens. */
    boolean admits(Worker worker) {
        if (!isWarmingUp(worker)) {
            return true;
        }
        double rate = allowedRequestsPerSecond(worker);
        if (worker.slowStartTokensAt == null) {
            worker.slowStartTokens = INITIAL_TOKENS;
        } else {
            double maxTokens = Math.max(1, rate * settings.overloadTime().toSeconds() * BURST_SHARE);
            TimeSpan elapsed = state.age(worker.slowStartTokensAt);
            double gained = rate * elapsed.toSeconds();
            worker.slowStartTokens = Math.min(maxTokens, worker.slowStartTokens + gained);
        }
        worker.slowStartTokensAt = state.now();
        return worker.slowStartTokens >= 1;
    }

    private double allowedRequestsPerSecond(Worker worker) {
        double progress = state.age(worker.startedAt).dividedBy(settings.warmUpTime());
        double initialShare = settings.initialCapacityShare();
        double capacityShare = initialShare + (1 - initialShare) * Math.max(0, progress);
        return MARGIN * settings.overloadFactor() * capacityShare * successesPerSecond;
    }

    void onAttemptSent(Worker worker) {
        worker.slowStartTokens -= isWarmingUp(worker) ? 1 : 0;
    }
}
