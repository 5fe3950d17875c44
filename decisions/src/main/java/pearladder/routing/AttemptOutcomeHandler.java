package pearladder.routing;

import pearladder.routing.api.Event;
import pearladder.routing.api.Event.InstanceStatus;
import pearladder.routing.api.Event.WorkerLoadReport;
import pearladder.routing.state.Attempt;
import pearladder.routing.state.Placement;
import pearladder.routing.state.RouterState;
import pearladder.routing.state.Worker;

/** Draws conclusions from an ended attempt: on the instance, on the worker's health and limit, and on the loads. */
final class AttemptOutcomeHandler {
    private static final double REFUSAL_DECREASE = 0.7; // of the concurrency limit, by a refusal as full
    private static final double NEEDLESS_REFUSAL = 0.5; // of a failure: the request wasn't executed

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

    /** Handles an attempt that is already counted as ended. */
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
            case FULL -> onFull(attempt.placement, report);
            case ABSENT -> onAbsent(attempt.placement, event.instanceStatus());
            case ERROR, BROKEN, UNREACHABLE -> onFailure(attempt.placement.worker, event.instanceStatus());
            case TIMED_OUT, WITHDRAWN -> onUnanswered(attempt);
            case VOID -> {}
        }
    }

    private void onSuccess(Attempt attempt, Event.AttemptEnded event) {
        Placement placement = attempt.placement;
        InstanceStatus status = event.instanceStatus();
        placement.worker.lastHeardAt = state.now();
        placement.worker.successes.add(state.now(), 1);
        placement.renewedAt = state.now();
        placement.instances = Math.max(1, placement.instances);
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
        double requestSeconds =
                state.typicalTimes().requestTime(placement.function).toSeconds();
        loadLimiter.onLoadCompleted(placement.function, Math.max(0, seconds - requestSeconds));
    }

    private void onWarmSuccess(Attempt attempt, double seconds) {
        Worker worker = attempt.placement.worker;
        concurrencyLimit.onWarmResponse(attempt, seconds);
        worker.responses.add(state.now(), 1);
        double typicalSeconds =
                state.typicalTimes().requestTime(attempt.request).toSeconds();
        worker.slowness.add(state.now(), seconds / typicalSeconds);
        state.typicalTimes().addWarmResponse(attempt.request, seconds);
    }

    private void onFull(Placement placement, WorkerLoadReport report) {
        Worker worker = placement.worker;
        worker.lastHeardAt = state.now();
        if (isIdle(report)) {
            addFailure(worker, NEEDLESS_REFUSAL);
        } else {
            placement.overloadedUntil = state.now().plus(AdaptiveConcurrencyLimit.OVERLOAD_PAUSE);
            worker.overloadedUntil = placement.overloadedUntil;
            concurrencyLimit.decrease(worker, REFUSAL_DECREASE);
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
            addFailure(worker, 1);
        }
    }

    private void onUnanswered(Attempt attempt) {
        Worker worker = attempt.placement.worker;
        worker.responses.add(state.now(), 1);
        worker.slowness.add(state.now(), outlierDetector.overdueRatio(attempt));
    }

    private void addFailure(Worker worker, double weight) {
        worker.responses.add(state.now(), 1);
        worker.failures.add(state.now(), weight);
    }

    /** Whether a worker has capacity by its own report, so that a refusal as full is a fault of the worker. */
    static boolean isIdle(WorkerLoadReport report) {
        return report != null
                && report.backlog() < AdaptiveConcurrencyLimit.INITIAL_LIMIT
                && report.loadsInProgress() < AdaptiveConcurrencyLimit.INITIAL_LIMIT;
    }
}
