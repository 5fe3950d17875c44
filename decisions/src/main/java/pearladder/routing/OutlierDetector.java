package pearladder.routing;

import java.util.ArrayList;
import java.util.List;
import java.util.function.ToDoubleFunction;
import pearladder.routing.api.Action;
import pearladder.routing.api.TimeSpan;
import pearladder.routing.state.Attempt;
import pearladder.routing.state.Median;
import pearladder.routing.state.RouterState;
import pearladder.routing.state.SeededRandom;
import pearladder.routing.state.Worker;

/** Temporarily ejects workers that fail, hang or are slow in comparison with the others. */
final class OutlierDetector {
    private static final TimeSpan MIN_EJECTION = TimeSpan.seconds(3);
    private static final TimeSpan MAX_EJECTION_JITTER = TimeSpan.seconds(2); // added to the minimum
    private static final double MAX_EJECTED_SHARE = 0.4; // of the workers in service
    private static final double MIN_RESPONSES = 8; // recent responses, to eject for slowness
    private static final double MIN_FAILURES = 2; // recent failures, to eject for failures
    private static final double MIN_FAILURE_RATIO = 0.3;
    private static final double OUTLIER_FACTOR = 4; // times the median; also an attempt's overdue ratio
    private static final int MIN_SILENT_ATTEMPTS = 3; // overdue, without a response since: the worker hangs
    private static final double CANCEL_OVERDUE_RATIO = 1.5;
    private static final double COLD_LOAD_ALLOWANCE = 2; // typical load times, if no instance was assumed

    /** Recent measures of a worker; the responses include overdue attempts in flight. */
    private record Health(Worker worker, double responses, double slowness, double failures) {
        double failureRatio() {
            return failures / Math.max(1, responses);
        }
    }

    private final RouterState state;
    private final RetryPolicy retryPolicy;
    private final SeededRandom random;

    OutlierDetector(RouterState state, RetryPolicy retryPolicy, SeededRandom random) {
        this.state = state;
        this.retryPolicy = retryPolicy;
        this.random = random;
    }

    /** Ejects outliers and cancels overdue attempts on ejected workers; called once a tick. */
    void evaluate() {
        List<Health> fleet = new ArrayList<>();
        int ejected = 0;
        for (Worker worker : state.endpoints().contacted()) {
            if (isEvaluated(worker)) {
                fleet.add(health(worker));
                ejected += state.isPending(worker.ejectedUntil) ? 1 : 0;
            }
        }
        double medianSlowness = Math.max(1, median(fleet, Health::slowness));
        double medianFailureRatio = median(fleet, Health::failureRatio);
        double maxEjected = MAX_EJECTED_SHARE * state.workerCount();
        for (Health health : fleet) {
            if (state.isPending(health.worker.ejectedUntil)) {
                cancelOverdueAttempts(health.worker);
            } else if (isOutlier(health, medianSlowness, medianFailureRatio) && ejected + 1 <= maxEjected) {
                ejected++;
                eject(health, medianSlowness);
            }
        }
    }

    private boolean isEvaluated(Worker worker) {
        return worker.responses.valueAt(state.now()) >= 1
                || !worker.attemptsInFlight.isEmpty()
                || state.isPending(worker.ejectedUntil);
    }

    private Health health(Worker worker) {
        double responses = worker.responses.valueAt(state.now());
        double slowness = worker.slowness.valueAt(state.now());
        double overdueAttempts = 0;
        double overdueRatios = 0;
        boolean silent = true;
        for (Attempt attempt : worker.attemptsInFlight) {
            double ratio = overdueRatio(attempt);
            if (ratio > OUTLIER_FACTOR) {
                overdueAttempts++;
                overdueRatios += ratio;
                silent &= attempt.isWorkerSilentSince();
            }
        }
        if (silent && overdueAttempts >= MIN_SILENT_ATTEMPTS) {
            responses = MIN_RESPONSES;
            slowness = overdueRatios / overdueAttempts * responses;
        } else {
            responses += overdueAttempts;
            slowness += overdueRatios;
        }
        double failures = worker.failures.valueAt(state.now());
        return new Health(worker, responses, slowness / Math.max(1, responses), failures);
    }

    private static boolean isOutlier(Health health, double medianSlowness, double medianFailureRatio) {
        double maxFailureRatio = Math.max(MIN_FAILURE_RATIO, OUTLIER_FACTOR * medianFailureRatio);
        boolean failing = health.failures >= MIN_FAILURES && health.failureRatio() > maxFailureRatio;
        boolean slow = health.responses >= MIN_RESPONSES && health.slowness > OUTLIER_FACTOR * medianSlowness;
        return failing || slow;
    }

    private void eject(Health health, double medianSlowness) {
        Worker worker = health.worker;
        worker.ejectedUntil = state.now().plus(MIN_EJECTION).plus(MAX_EJECTION_JITTER.times(random.next()));
        worker.uncachePlacements();
        int inFlight = worker.attemptsInFlight.size();
        state.log(
                "set aside %s: slowness %.1f of %.1f, failures %.1f of %.1f, %d out",
                worker.id, health.slowness, medianSlowness, health.failures, health.responses, inFlight);
        worker.clearHealth();
        cancelOverdueAttempts(worker);
    }

    private static double median(List<Health> fleet, ToDoubleFunction<Health> measure) {
        return Median.of(fleet.stream().filter(health -> health.responses >= 1).mapToDouble(measure));
    }

    /** Cancels the overdue attempts on an ejected worker that may be retried at another one. */
    private void cancelOverdueAttempts(Worker worker) {
        for (Attempt attempt : worker.attemptsInFlight) {
            boolean overdue = !attempt.cancelled && overdueRatio(attempt) > CANCEL_OVERDUE_RATIO;
            if (overdue && retryPolicy.mayCancelAndRetry(attempt.request)) {
                attempt.cancelled = true;
                state.emit(new Action.CancelAttempt(attempt.request.id, attempt.number));
            }
        }
    }

    /**
     * Returns the ratio of an attempt's age to the time allowed for it. That covers the request and a load;
     * no load if an instance was assumed and the worker has been silent since.
     */
    double overdueRatio(Attempt attempt) {
        TimeSpan allowedLoadTime =
                state.typicalTimes().loadTime(attempt.request.function).times(allowedLoads(attempt));
        TimeSpan allowedTime = state.typicalTimes().requestTime(attempt.request).plus(allowedLoadTime);
        return state.age(attempt.sentAt).dividedBy(allowedTime);
    }

    private static double allowedLoads(Attempt attempt) {
        if (!attempt.assumedWarm) {
            return COLD_LOAD_ALLOWANCE;
        }
        return attempt.isWorkerSilentSince() ? 0 : 1;
    }
}
