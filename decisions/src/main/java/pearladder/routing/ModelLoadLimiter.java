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

/** Limits loads to the rate at which they complete; further requests join a load or are rejected. */
final class ModelLoadLimiter {
    private static final double LATE_LOAD_FACTOR = 1.5; // times the typical load time
    private static final double MAX_MEMORY_SHARE = 0.4; // of a worker, for instances known to this router
    private static final double INITIAL_WINDOW_SHARES = 2; // in fair shares of one load
    private static final double GROWTH_STEP = 0.5;
    private static final double FAILURE_DECREASE_FACTOR = 0.5; // on failed and late loads
    private static final double REFUSAL_DECREASE_FACTOR = 0.75;
    private static final TimeSpan DECREASE_PAUSE = TimeSpan.seconds(1);
    private static final double MIN_MEAN_REPORTED_LOADS = 0.5; // per worker; below it, no window decrease
    private static final double FULL_REPORTED_LOADS = 2; // at a worker whose queue is full of loads
    private static final double MAX_EXCESS_LOADS = 2; // reported loads of a worker over the mean
    private static final double MIN_TOLERATED_FAILURES = 1.5; // recent failures, however few loads there were
    private static final double TOLERATED_FAILURE_SHARE = 0.2; // of recent loads, if that is more
    private static final double LIKELY_LOAD_RATIO = 0.5;

    private final RouterState state;
    private final SlowStart slowStart;
    private final double fairShare;
    private final DecayingSum recentLoads;
    private final DecayingSum recentFailures;
    private final DecayingMean coldLoadRatio;
    private double window = Double.NaN;
    private int loadsInProgress;
    private double meanReportedLoads;
    private MonotonicTime windowDecreasedAt;
    private MonotonicTime lastLoadStartedAt;

    ModelLoadLimiter(RouterState state, SlowStart slowStart) {
        this.state = state;
        this.slowStart = slowStart;
        this.fairShare = AdaptiveConcurrencyLimit.fairShare(state.settings());
        this.recentLoads = new DecayingSum(state.decayTimes().rates());
        this.recentFailures = new DecayingSum(state.decayTimes().rates());
        this.coldLoadRatio = new DecayingMean(state.decayTimes().demand(), 1, 1);
    }

    /** Updates the mean of the loads that workers report; called once a tick. */
    void evaluate() {
        meanReportedLoads = state.endpoints().contacted().stream()
                .filter(worker -> worker.lastResponseAt != null)
                .mapToDouble(worker -> worker.reportedLoads)
                .average()
                .orElse(0);
    }

    /** Returns the number of instances assumed to be loaded; it expires after the workers' idle timeout. */
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

    /** Returns the share of attempts sent without an assumed instance that had to wait for a load. */
    double coldLoadRatio() {
        return coldLoadRatio.valueAt(state.now());
    }

    /** Returns whether a request may be sent to a placement, given that it may start a load there. */
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
        boolean pacingIntervalOver = isPacingIntervalOver(placement.function);
        double likelyLoadsInProgress = loadsInProgress * Math.max(fairShare, coldLoadRatio());
        return pacingIntervalOver
                && likelyLoadsInProgress < Math.max(1, window)
                && placement.worker.reportedLoads <= meanReportedLoads + MAX_EXCESS_LOADS
                && hasMemory(placement);
    }

    /** Returns the worker that all routers choose first for the function while every worker has capacity. */
    private Worker homeWorker(Function function) {
        Predicate<Worker> admissible = worker -> state.isEligible(worker) && slowStart.admits(worker);
        return state.endpoints()
                .firstInRingOrder(function, StickyFirstFitPolicy.MAX_EXAMINED_WORKERS, null, admissible);
    }

    private boolean canJoinLoad(Function function) {
        return function.cachedPlacements.stream().anyMatch(this::isLoadLikely);
    }

    private boolean isLoadLikely(Placement placement) {
        return placement.loading && state.isEligible(placement.worker) && coldLoadRatio() > LIKELY_LOAD_RATIO;
    }

    private boolean isPacingIntervalOver(Function function) {
        if (window >= 1 || lastLoadStartedAt == null) {
            return true;
        }
        TimeSpan likelyLoadTime = state.typicalTimes().loadTime(function).times(coldLoadRatio());
        return state.age(lastLoadStartedAt).times(window).isLongerThan(likelyLoadTime);
    }

    /** Returns whether one more instance fits in memory, of which a part is left for other routers. */
    boolean hasMemory(Placement placement) {
        double capacityMb = state.minWorkerMemoryMb();
        double usedMb = placement.function.memoryMb;
        for (Placement other : placement.worker.placements) {
            usedMb += assumedInstances(other) * other.function.memoryMb;
        }
        return capacityMb <= 0 || usedMb <= MAX_MEMORY_SHARE * capacityMb;
    }

    void onAttemptSent(Placement placement) {
        if (!placement.loading && assumedInstances(placement) == 0) {
            placement.loading = true;
            lastLoadStartedAt = state.now();
            loadsInProgress++;
        }
    }

    /** Ends the count of the load in progress: once its attempt has ended, it has completed or never will. */
    void onColdAttemptEnded(Placement placement) {
        if (placement.loading) {
            placement.loading = false;
            loadsInProgress--;
        }
    }

    /**
     * Records whether a request that was sent without an assumed instance waited for a load. It did not if
     * requests of other routers had already loaded an instance.
     */
    void onColdSuccess(InstanceStatus status) {
        boolean load = status == InstanceStatus.LOAD_BEGUN || status == InstanceStatus.LOAD_JOINED;
        coldLoadRatio.addWeighted(state.now(), load ? 1 : 0, 1);
    }

    void onLoadCompleted(Function function, double seconds) {
        double timeRatio = seconds / state.typicalTimes().loadSeconds(function);
        state.typicalTimes().addLoad(seconds);
        recentLoads.add(state.now(), 1);
        if (timeRatio > LATE_LOAD_FACTOR) {
            decreaseWindow("late", timeRatio, FAILURE_DECREASE_FACTOR);
        } else {
            double maxWindow = Math.max(1, state.workerCount() * fairShare);
            double step = GROWTH_STEP * (window < 1 ? window : fairShare);
            window = Math.min(maxWindow, window + step);
        }
    }

    void onLoadFailed() {
        recentFailures.add(state.now(), 1);
        double toleratedFailures =
                Math.max(MIN_TOLERATED_FAILURES, TOLERATED_FAILURE_SHARE * recentLoads.valueAt(state.now()));
        if (recentFailures.valueAt(state.now()) > toleratedFailures) {
            decreaseWindow("failed", 1, FAILURE_DECREASE_FACTOR);
        }
    }

    /** Decreases the window if loads fill the worker's queue: further loads would only fill more queues. */
    void onRefused(Worker worker) {
        if (worker.reportedLoads >= FULL_REPORTED_LOADS) {
            decreaseWindow("refused", worker.reportedLoads, REFUSAL_DECREASE_FACTOR);
        }
    }

    private void decreaseWindow(String reason, double level, double factor) {
        boolean recentlyDecreased =
                windowDecreasedAt != null && !state.age(windowDecreasedAt).isLongerThan(DECREASE_PAUSE);
        if (meanReportedLoads < MIN_MEAN_REPORTED_LOADS || recentlyDecreased) {
            return;
        }
        windowDecreasedAt = state.now();
        window *= factor;
        state.log(
                "a load %s at %.1f (%.1f a worker): %.1f may be under way, %d are",
                reason, level, meanReportedLoads, window, loadsInProgress);
    }
}
