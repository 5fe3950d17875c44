package pearladder.routing;

import java.util.function.Predicate;
import pearladder.routing.api.Event.InstanceStatus;
import pearladder.routing.api.MonotonicTime;
import pearladder.routing.api.TimeSpan;
import pearladder.routing.state.DecayingMean;
import pearladder.routing.state.DecayingSum;
import pearladder.routing.state.Function;
import pearladder.routing.state.Placement;
import pearladder.routing.state.RouterState;
import pearladder.routing.state.Worker;

/** Starts loads only as fast as they complete; beyond that, requests join a load or are rejected. */
final class ModelLoadLimiter {
    private static final double LATE_FACTOR = 1.5; // of the typical time: a load is late
    private static final double MEMORY_SHARE = 0.4; // of a worker, for instances that this router knows of
    private static final double INITIAL_WINDOW_SHARES = 2; // in fair shares of one load
    private static final double GROWTH_STEP = 0.5;
    private static final double FAILURE_DECREASE = 0.5; // by failed and late loads
    private static final double REFUSAL_DECREASE = 0.75;
    private static final TimeSpan DECREASE_PAUSE = TimeSpan.seconds(1);
    private static final double MIN_MEAN_LOADS = 0.5; // reported by a worker; below, nothing is decreased
    private static final double FULL_REPORTED_LOADS = 2; // reported loads that fill a worker's queue
    private static final double MAX_EXCESS_LOADS = 2; // reported loads of a worker over the mean
    private static final double MIN_FAILURES = 1.5; // recent failures that are tolerated,
    private static final double FAILURE_SHARE = 0.2; // or this share of recent loads
    private static final double LIKELY_LOAD = 0.5;

    private final RouterState state;
    private final SlowStart slowStart;
    private final double fairShare;
    private final DecayingSum loads;
    private final DecayingSum failures;
    private final DecayingMean coldLoadRatio;
    private double window = Double.NaN;
    private int inProgress;
    private double meanReportedLoads;
    private MonotonicTime decreasedAt;
    private MonotonicTime lastStartAt;

    ModelLoadLimiter(RouterState state, SlowStart slowStart) {
        this.state = state;
        this.slowStart = slowStart;
        this.fairShare = AdaptiveConcurrencyLimit.fairShare(state.settings());
        this.loads = new DecayingSum(state.decayTimes().rates());
        this.failures = new DecayingSum(state.decayTimes().rates());
        this.coldLoadRatio = new DecayingMean(state.decayTimes().demand(), 1, 1);
    }

    /** Updates the mean of the loads that workers report, once a tick. */
    void evaluate() {
        meanReportedLoads = state.endpoints().contacted().stream()
                .filter(worker -> worker.lastResponseAt != null)
                .mapToDouble(worker -> worker.reportedLoads)
                .average()
                .orElse(0);
    }

    /** Instances assumed to be loaded; without renewal, for as long as workers keep idle ones. */
    int assumedInstances(Placement placement) {
        TimeSpan idleTimeout = state.settings().instances().idleTimeout();
        if (placement.renewedAt == null || state.age(placement.renewedAt).isLongerThan(idleTimeout)) {
            placement.instances = placement.inFlight > 0 ? Math.min(1, placement.instances) : 0;
        }
        return placement.instances;
    }

    boolean hasAssumedInstance(Placement placement) {
        return assumedInstances(placement) > 0;
    }

    /** The share of attempts sent where no instance was assumed that had to wait for a load. */
    double coldLoadRatio() {
        return coldLoadRatio.valueAt(state.now());
    }

    /** Whether a request may be sent to a placement, where it might start a load. */
    boolean admits(Placement placement) {
        if (assumedInstances(placement) > 0 || placement.loading) {
            return true;
        }
        if (Double.isNaN(window)) {
            double workersPerRouter =
                    (double) state.workerCount() / state.settings().routerCount();
            window = Math.max(INITIAL_WINDOW_SHARES * fairShare, workersPerRouter);
        }
        if (placement.worker == homeWorker(placement.function)) {
            return true;
        }
        if (canJoinLoad(placement.function)) {
            return false;
        }
        boolean paceAllows = paceAllows(placement.function);
        double likelyInProgress = inProgress * Math.max(fairShare, coldLoadRatio());
        return paceAllows
                && likelyInProgress < Math.max(1, window)
                && placement.worker.reportedLoads <= meanReportedLoads + MAX_EXCESS_LOADS
                && hasMemory(placement);
    }

    /** The worker that all routers choose first for the function while every worker has capacity. */
    private Worker homeWorker(Function function) {
        Predicate<Worker> admissible = worker -> state.isEligible(worker) && slowStart.admits(worker);
        return state.endpoints()
                .firstInRingOrder(function, StickyFirstFitPolicy.MAX_EXAMINED_WORKERS, null, admissible);
    }

    private boolean canJoinLoad(Function function) {
        return function.cachedPlacements.stream().anyMatch(this::isLoadLikely);
    }

    private boolean isLoadLikely(Placement placement) {
        return placement.loading && state.isEligible(placement.worker) && coldLoadRatio() > LIKELY_LOAD;
    }

    private boolean paceAllows(Function function) {
        if (window >= 1 || lastStartAt == null) {
            return true;
        }
        TimeSpan likelyLoadTime = state.typicalTimes().loadTime(function).times(coldLoadRatio());
        return state.age(lastStartAt).times(window).isLongerThan(likelyLoadTime);
    }

    /** Whether one more instance fits beside those known; a part is left for those of other routers. */
    boolean hasMemory(Placement placement) {
        double capacityMb = state.minWorkerMemoryMb();
        double usedMb = placement.function.memoryMb;
        for (Placement other : placement.worker.placements) {
            usedMb += assumedInstances(other) * other.function.memoryMb;
        }
        return capacityMb <= 0 || usedMb <= MEMORY_SHARE * capacityMb;
    }

    void onAttemptSent(Placement placement) {
        if (!placement.loading && assumedInstances(placement) == 0) {
            placement.loading = true;
            lastStartAt = state.now();
            inProgress++;
        }
    }

    /** Its attempt having ended, the load at the placement has completed or never will. */
    void onColdAttemptEnded(Placement placement) {
        if (placement.loading) {
            placement.loading = false;
            inProgress--;
        }
    }

    /** Where no instance was assumed, there may be one that other routers' requests loaded. */
    void onColdSuccess(InstanceStatus status) {
        boolean load = status == InstanceStatus.LOAD_BEGUN || status == InstanceStatus.LOAD_JOINED;
        coldLoadRatio.addWeighted(state.now(), load ? 1 : 0, 1);
    }

    void onLoadCompleted(Function function, double seconds) {
        double timeRatio = seconds / state.typicalTimes().loadSeconds(function);
        state.typicalTimes().addLoad(seconds);
        loads.add(state.now(), 1);
        if (timeRatio > LATE_FACTOR) {
            decreaseWindow("late", timeRatio, FAILURE_DECREASE);
        } else {
            double maxWindow = Math.max(1, state.workerCount() * fairShare);
            double step = GROWTH_STEP * (window < 1 ? window : fairShare);
            window = Math.min(maxWindow, window + step);
        }
    }

    void onLoadFailed() {
        failures.add(state.now(), 1);
        double toleratedFailures = Math.max(MIN_FAILURES, FAILURE_SHARE * loads.valueAt(state.now()));
        if (failures.valueAt(state.now()) > toleratedFailures) {
            decreaseWindow("failed", 1, FAILURE_DECREASE);
        }
    }

    /** A refusal where loads fill the worker's queue: further loads would only fill more queues. */
    void onRefused(Worker worker) {
        if (worker.reportedLoads >= FULL_REPORTED_LOADS) {
            decreaseWindow("refused", worker.reportedLoads, REFUSAL_DECREASE);
        }
    }

    private void decreaseWindow(String reason, double level, double factor) {
        boolean paused = decreasedAt != null && !state.age(decreasedAt).isLongerThan(DECREASE_PAUSE);
        if (meanReportedLoads < MIN_MEAN_LOADS || paused) {
            return;
        }
        decreasedAt = state.now();
        window *= factor;
        state.log(
                "a load %s at %.1f (%.1f a worker): %.1f may be under way, %d are",
                reason, level, meanReportedLoads, window, inProgress);
    }
}
