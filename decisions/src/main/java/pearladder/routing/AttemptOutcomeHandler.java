package pearladder.routing;

import pearladder.routing.api.Event;
import pearladder.routing.api.Event.InstanceStatus;
import pearladder.routing.api.Event.WorkerLoadReport;
import pearladder.routing.api.Outcome;
import pearladder.routing.state.Attempt;
import pearladder.routing.state.Placement;
import pearladder.routing.state.RouterState;
import pearladder.routing.state.Worker;

/** Applies the result of an attempt to the placement, the worker's health and limit, and the load limiter. */
final class AttemptOutcomeHandler {
    private static final double REFUSAL_DECREASE_FACTOR = 0.7; // of the concurrency limit
    /** Weight of a needless refusal as a failure; below 1 because the request wasn't executed. */
    private static final double NEEDLESS_REFUSAL_WEIGHT = 0.5;

    private final RouterState state;
    private final ModelLoadLimiter loadLimiter;
    private final AdaptiveConcurrencyLimit concurrencyLimit;
    private final OutlierDetector outlierDetector;

    AttemptOutcomeHandler(
            RouterState state,
            ModelLoadLimiter loadLimiter,
            AdaptiveConcurrencyLimit concurrencyLimit,
            OutlierDetector outlierDetector) {
        this.state = state;
        this.loadLimiter = loadLimiter;
        this.concurrencyLimit = concurrencyLimit;
        this.outlierDetector = outlierDetector;
    }

    /** Handles the end of an attempt that is no longer counted as in flight. */
    void onAttemptEnded(Attempt attempt, Event.AttemptEnded event) {
        WorkerLoadReport report = event.loadReport();
        if (report != null && !Double.isNaN(report.loadsInProgress())) {
            attempt.placement.worker.reportedLoads = report.loadsInProgress();
        }
        if (!attempt.assumedWarm) {
            loadLimiter.onColdAttemptEnded(attempt.placement);
        }
        switch (event.outcome()) {
            case SUCCESS -> onSuccess(attempt, event);
            case FULL -> onFull(attempt.placement, event);
            case ABSENT -> onAbsent(attempt.placement, event.instanceStatus());
            case ERROR, BROKEN, UNREACHABLE -> onFailure(attempt.placement.worker, event.instanceStatus());
            case TIMED_OUT, WITHDRAWN -> onUnanswered(attempt);
            case VOID -> {}
        }
    }

    private void onSuccess(Attempt attempt, Event.AttemptEnded event) {
        Placement placement = attempt.placement;
        InstanceStatus status = event.instanceStatus();
        placement.worker.lastResponseAt = state.now();
        placement.worker.successes.add(state.now(), 1);
        placement.renewedAt = state.now();
        placement.instances = Math.max(1, placement.instances);
        state.onServed(placement.function);
        if (!attempt.assumedWarm) {
            loadLimiter.onColdSuccess(status);
        }
        double seconds = event.elapsed().toSeconds();
        if (status == InstanceStatus.LOAD_BEGUN) {
            onSuccessWithLoad(attempt, seconds);
        } else if (status != InstanceStatus.LOAD_JOINED) {
            onWarmSuccess(attempt, seconds);
        }
    }

    private void onSuccessWithLoad(Attempt attempt, double seconds) {
        Placement placement = attempt.placement;
        placement.instances += attempt.assumedWarm ? 1 : 0;
        double requestSeconds = state.typicalTimes().requestSeconds(placement.function);
        loadLimiter.onLoadCompleted(placement.function, Math.max(0, seconds - requestSeconds));
    }

    private void onWarmSuccess(Attempt attempt, double seconds) {
        Worker worker = attempt.placement.worker;
        concurrencyLimit.onWarmResponse(attempt, seconds);
        double typicalSeconds = state.typicalTimes().requestSeconds(attempt.request);
        worker.addResponse(state.now(), seconds / typicalSeconds);
        state.typicalTimes().addWarmResponse(attempt.request, seconds);
    }

    private void onFull(Placement placement, Event.AttemptEnded event) {
        Worker worker = placement.worker;
        worker.lastResponseAt = state.now();
        if (isNeedlessRefusal(event)) {
            worker.addFailure(state.now(), NEEDLESS_REFUSAL_WEIGHT);
        } else {
            placement.overloadedUntil = state.now().plus(AdaptiveConcurrencyLimit.OVERLOAD_PAUSE);
            worker.overloadedUntil = placement.overloadedUntil;
            concurrencyLimit.decrease(worker, REFUSAL_DECREASE_FACTOR);
            loadLimiter.onRefused(worker);
        }
    }

    private void onAbsent(Placement placement, InstanceStatus status) {
        placement.instances = 0;
        if (status == InstanceStatus.LOAD_FAILED) {
            loadLimiter.onLoadFailed();
        }
    }

    private void onFailure(Worker worker, InstanceStatus status) {
        if (status == InstanceStatus.LOAD_FAILED) {
            loadLimiter.onLoadFailed();
        } else {
            worker.addFailure(state.now(), 1);
        }
    }

    private void onUnanswered(Attempt attempt) {
        attempt.placement.worker.addResponse(state.now(), outlierDetector.overdueRatio(attempt));
    }

    /** Returns whether the worker refused as full but reported capacity, which is a fault of the worker. */
    static boolean isNeedlessRefusal(Event.AttemptEnded event) {
        WorkerLoadReport report = event.loadReport();
        return event.outcome() == Outcome.FULL
                && report != null
                && report.backlog() < AdaptiveConcurrencyLimit.INITIAL_LIMIT
                && report.loadsInProgress() < AdaptiveConcurrencyLimit.INITIAL_LIMIT;
    }
}
