package pearladder.recovery;

import java.util.HashSet;
import java.util.Set;
import pearladder.routing.api.TimeSpan;
import pearladder.routing.state.PolicySnapshot;

/**
 * Finds values in a snapshot that no policy ever has. A snapshot with such a value was written by another program or by
 * a faulty one, and no part of it is used.
 */
final class SnapshotValidator {
    /** Maximum number of instances of one function on one worker. */
    private static final int MAX_INSTANCES = 64;
    /** Longest remaining ejection time of a worker. */
    private static final TimeSpan MAX_EJECTION = TimeSpan.seconds(3600);
    /** Every sum, count and size is below this; NaN and infinity fail the same comparison. */
    private static final double VALUE_BOUND = 1e12;

    private SnapshotValidator() {}

    /** Returns the name of the first invalid part of a snapshot; null if all of it is valid. */
    static String findInvalidPart(PolicySnapshot snapshot) {
        boolean isValid = !TimeSpan.ZERO.isLongerThan(snapshot.age())
                && isInRange(snapshot.loadSeconds())
                && isInRange(snapshot.loadCount());
        if (!isValid) {
            return "age, load seconds or load count out of range";
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
                && isInRange(function.memoryMb())
                && isInRange(function.recentRequests())
                && isInRange(function.warmResponses())
                && isInRange(function.warmSeconds())
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

    private static boolean isInRange(double value) {
        return value >= 0 && value < VALUE_BOUND;
    }
}
