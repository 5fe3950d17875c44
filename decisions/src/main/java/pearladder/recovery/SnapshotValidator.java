package pearladder.recovery;

import java.util.HashSet;
import java.util.Set;
import pearladder.routing.api.TimeSpan;
import pearladder.routing.state.PolicySnapshot;

/**
 * Finds values in a snapshot that no policy ever has. A snapshot with one of them was written by another program or by
 * a faulty one, and no part of it is used.
 */
final class SnapshotValidator {
    /** Most instances of one function on one worker. */
    private static final int MAX_INSTANCES = 64;
    /** Longest remaining ejection of a worker. */
    private static final TimeSpan MAX_EJECTION = TimeSpan.seconds(3600);
    /** Every sum, count and size is below this; NaN and infinity fail the same comparison. */
    private static final double FIGURE_BOUND = 1e12;

    private SnapshotValidator() {}

    /** Names the first invalid part of a snapshot; null where all of it is valid. */
    static String findInvalidPart(PolicySnapshot snapshot) {
        boolean isValid = !TimeSpan.ZERO.isLongerThan(snapshot.age())
                && isFigure(snapshot.loadSeconds())
                && isFigure(snapshot.loadCount());
        if (!isValid) {
            return "figures that can't be";
        }
        Set<String> workers = new HashSet<>();
        for (PolicySnapshot.WorkerSnapshot worker : snapshot.workers()) {
            if (!isValid(worker) || !workers.add(worker.worker())) {
                return "worker " + worker.worker();
            }
        }
        Set<String> functions = new HashSet<>();
        for (PolicySnapshot.FunctionSnapshot function : snapshot.functions()) {
            if (!functions.add(function.function()) || !isValid(function)) {
                return "function " + function.function();
            }
            if (!hasValidInstances(function)) {
                return "the instances of " + function.function();
            }
        }
        return null;
    }

    private static boolean isValid(PolicySnapshot.WorkerSnapshot worker) {
        return !TimeSpan.ZERO.isLongerThan(worker.ejectedFor())
                && (worker.uptime() == null || !TimeSpan.ZERO.isLongerThan(worker.uptime()))
                && !worker.ejectedFor().isLongerThan(MAX_EJECTION);
    }

    private static boolean isValid(PolicySnapshot.FunctionSnapshot function) {
        return function.concurrency() >= 1
                && isFigure(function.memoryMb())
                && isFigure(function.recentRequests())
                && isFigure(function.warmResponses())
                && isFigure(function.warmSeconds())
                && (function.typicalLoadTime() == null || !TimeSpan.ZERO.isLongerThan(function.typicalLoadTime()));
    }

    private static boolean hasValidInstances(PolicySnapshot.FunctionSnapshot function) {
        Set<String> workers = new HashSet<>();
        for (PolicySnapshot.InstanceSnapshot instance : function.instances()) {
            boolean isValidCount = instance.instances() >= 1 && instance.instances() <= MAX_INSTANCES;
            if (!isValidCount
                    || TimeSpan.ZERO.isLongerThan(instance.sinceRenewed())
                    || !workers.add(instance.worker())) {
                return false;
            }
        }
        return true;
    }

    private static boolean isFigure(double figure) {
        return figure >= 0 && figure < FIGURE_BOUND;
    }
}
