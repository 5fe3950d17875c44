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

/** Ejects a worker for a while that fails, hangs or is slow in comparison with the others. */
final class OutlierDetector {
    private static final TimeSpan MIN_EJECTION = TimeSpan.seconds(3);
    private static final TimeSpan RANDOM_EJECTION = TimeSpan.seconds(2); // on top: from none to this
    private static final double MAX_EJECTED_SHARE = 0.4; // of the workers in service
    private static final double MIN_RESPONSES = 8; // recent ones, for a verdict on slowness
    private static final double MIN_FAILURES = 2; // recent ones, for a verdict on failures
    private static final double MIN_FAILURE_RATIO = 0.3;
    private static final double OUTLIER_FACTOR = 4; // times the median; also an attempt's overdue ratio
    private static final int MIN_SILENT_ATTEMPTS = 3; // overdue, with no answer since: the worker hangs
    private static final double CANCEL_OVERDUE_RATIO = 1.5;
    private static final double COLD_LOADS = 2; // typical load times granted where no instance was assumed

    /** What a worker is judged by; the responses include overdue attempts in flight. */
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

    /** Ejects outliers and cancels attempts that are stuck on ejected workers, once a tick. */
    void evaluate() {
        List<Health> fleet = new ArrayList<>();
        int ejected = 0;
        for (Worker worker : state.endpoints().contacted()) {
            if (isJudged(worker)) {
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

    private boolean isJudged(Worker worker) {
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
        worker.ejectedUntil = state.now().plus(MIN_EJECTION).plus(RANDOM_EJECTION.times(random.next()));
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

    /** Cancels what is stuck on an ejected worker and may be sent elsewhere. */
    private void cancelOverdueAttempts(Worker worker) {
        for (Attempt attempt : worker.attemptsInFlight) {
            boolean overdue = !attempt.cancelled && overdueRatio(attempt) > CANCEL_OVERDUE_RATIO;
            if (overdue && retryPolicy.mayCancelAndRetry(attempt.request)) {
                attempt.cancelled = true;
                state.emit(new Action.CancelAttempt(attempt.request.id, attempt.number));
            }
        }
    }

    /** An attempt's age over the time that it should take, with a load unless the worker is silent. */
    double overdueRatio(Attempt attempt) {
        TimeSpan load = state.typicalTimes().loadTime(attempt.request.function).times(grantedLoads(attempt));
        TimeSpan granted = state.typicalTimes().requestTime(attempt.request).plus(load);
        return state.age(attempt.sentAt).dividedBy(granted);
    }

    private static double grantedLoads(Attempt attempt) {
        if (!attempt.assumedWarm) {
            return COLD_LOADS;
        }
        return attempt.isWorkerSilentSince() ? 0 : 1;
    }
}
