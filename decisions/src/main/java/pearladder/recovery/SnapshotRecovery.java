package pearladder.recovery;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import pearladder.routing.api.TimeSpan;
import pearladder.routing.state.PolicySnapshot;

/**
 * Decides which parts of a routing policy's snapshot are still valid after a restart. Its one entry point is
 * {@link #recover}.
 *
 * <p>What was learnt about a worker applies to that worker process only, so a worker is restored only if its present
 * uptime is that of the snapshot plus the time since then. Decaying values decay by that time. An instance is restored
 * for as long as idle instances are kept. Load requests count against the load quota even if nothing else is restored;
 * if the event log is incomplete, the full burst counts as just sent.
 *
 * <p>Concurrency limits of workers and loads in progress are not restored but learnt again: they reflect the load
 * before the restart, and restoring them lowered the score in simulations (docs/records.md).
 */
public final class SnapshotRecovery {
    /**
     * What is known when the router starts.
     *
     * @param snapshot the snapshot, or null if there is no readable one
     * @param gap time from the snapshot to now by the wall clock; negative if that clock was set back
     * @param loadRequestAges ages of the load requests in the event log, by the wall clock
     * @param isLogComplete whether the event log contains all load requests that were sent
     * @param uptimes present uptime of the process of each worker in the last endpoint list, null where the list gives
     *     none
     */
    public record RestartState(
            PolicySnapshot snapshot,
            TimeSpan gap,
            List<TimeSpan> loadRequestAges,
            boolean isLogComplete,
            Map<String, TimeSpan> uptimes) {}

    /**
     * State from which the policy may start.
     *
     * @param snapshot the part of the snapshot that is still valid; without workers and functions if none is
     * @param reason one line for the log: how much was restored, or why nothing was
     */
    public record RecoveredState(PolicySnapshot snapshot, String reason) {}

    /** Maximum difference between two measurements of the uptime of one process. */
    private static final TimeSpan UPTIME_TOLERANCE = TimeSpan.millis(500);
    /** A worker of unknown uptime counts as not restarted if the gap is at most this. */
    private static final TimeSpan MIN_RESTART_TIME = TimeSpan.seconds(10);
    /** A snapshot older than this many idle timeouts is not used, because hardly any instance is left then. */
    private static final double MAX_AGE_IN_IDLE_TIMEOUTS = 3;
    /** Lower bound of the maximum age of a snapshot, for short idle timeouts. */
    private static final TimeSpan MAX_AGE_LOWER_BOUND = TimeSpan.seconds(30);

    private final TimeSpan idleTimeout;
    private final TimeSpan quotaWindow;
    private final double quotaBurst;
    private final TimeSpan maxAge;

    /**
     * Creates the recovery for one set of routing settings.
     *
     * @param idleTimeout time for which idle instances are kept
     * @param quotaWindow window of the load quota; zero if there is no quota
     * @param quotaBurst number of load requests that the quota always allows within the window
     */
    public SnapshotRecovery(TimeSpan idleTimeout, TimeSpan quotaWindow, double quotaBurst) {
        this.idleTimeout = idleTimeout;
        this.quotaWindow = quotaWindow;
        this.quotaBurst = quotaBurst;
        this.maxAge = idleTimeout.times(MAX_AGE_IN_IDLE_TIMEOUTS).atLeast(MAX_AGE_LOWER_BOUND);
    }

    /** Returns the state from which the policy may start. */
    public RecoveredState recover(RestartState restartState) {
        List<TimeSpan> loadRequestAges = countedLoadRequests(restartState);
        String reason = unusableReason(restartState);
        return reason == null ? restore(restartState, loadRequestAges) : restoreNothing(loadRequestAges, reason);
    }

    /** Returns why no part of the snapshot may be used; null if it may be used. */
    private String unusableReason(RestartState restartState) {
        if (restartState.snapshot() == null) {
            return "no snapshot";
        }
        if (TimeSpan.ZERO.isLongerThan(restartState.gap())) {
            return "the clock stepped back by "
                    + formatSeconds(restartState.gap().times(-1));
        }
        if (restartState.gap().isLongerThan(maxAge)) {
            return "the snapshot is " + formatSeconds(restartState.gap()) + " old";
        }
        String invalidPart = SnapshotValidator.findInvalidPart(restartState.snapshot());
        return invalidPart == null ? null : "the snapshot is invalid: " + invalidPart;
    }

    private static RecoveredState restoreNothing(List<TimeSpan> loadRequestAges, String reason) {
        return new RecoveredState(
                new PolicySnapshot(TimeSpan.ZERO, List.of(), List.of(), loadRequestAges, 0, 0),
                reason + "; " + loadRequestAges.size() + " load requests count against the quota");
    }

    private RecoveredState restore(RestartState restartState, List<TimeSpan> loadRequestAges) {
        PolicySnapshot saved = restartState.snapshot();
        List<PolicySnapshot.WorkerSnapshot> workers = restoreWorkers(restartState);
        Set<String> restoredWorkers = new HashSet<>();
        workers.forEach(worker -> restoredWorkers.add(worker.worker()));
        List<PolicySnapshot.FunctionSnapshot> functions = new ArrayList<>();
        for (PolicySnapshot.FunctionSnapshot function : saved.functions()) {
            functions.add(withInstances(function, restoreInstances(function, restartState.gap(), restoredWorkers)));
        }
        PolicySnapshot restored = new PolicySnapshot(
                restartState.gap(), workers, functions, loadRequestAges, saved.loadSeconds(), saved.loadCount());
        return new RecoveredState(restored, describe(saved, restored));
    }

    private static String describe(PolicySnapshot saved, PolicySnapshot restored) {
        return String.format(
                Locale.ROOT,
                "after %s: %d of %d workers, %d of %d placements, %d functions,"
                        + " %d load requests count against the quota",
                formatSeconds(restored.age()),
                restored.workers().size(),
                saved.workers().size(),
                placementCount(restored),
                placementCount(saved),
                restored.functions().size(),
                restored.loadRequestAges().size());
    }

    /** Returns the number of pairs of a function and a worker that has instances of it. */
    private static int placementCount(PolicySnapshot snapshot) {
        return snapshot.functions().stream()
                .mapToInt(function -> function.instances().size())
                .sum();
    }

    /** Returns the workers that still run the process of the snapshot, with present uptime and remaining ejection. */
    private static List<PolicySnapshot.WorkerSnapshot> restoreWorkers(RestartState restartState) {
        List<PolicySnapshot.WorkerSnapshot> restored = new ArrayList<>();
        for (PolicySnapshot.WorkerSnapshot worker : restartState.snapshot().workers()) {
            String id = worker.worker();
            if (!restartState.uptimes().containsKey(id)) {
                continue;
            }
            TimeSpan uptime = restartState.uptimes().get(id);
            if (isSameProcess(worker.uptime(), uptime, restartState.gap())) {
                TimeSpan ejectedFor =
                        worker.ejectedFor().minus(restartState.gap()).atLeast(TimeSpan.ZERO);
                restored.add(new PolicySnapshot.WorkerSnapshot(id, uptime, ejectedFor));
            }
        }
        return restored;
    }

    /** Returns whether two uptimes, measured the gap apart, belong to one process; null is an unknown uptime. */
    private static boolean isSameProcess(TimeSpan savedUptime, TimeSpan presentUptime, TimeSpan gap) {
        if (savedUptime == null || presentUptime == null) {
            return savedUptime == null && presentUptime == null && !gap.isLongerThan(MIN_RESTART_TIME);
        }
        TimeSpan difference = presentUptime.minus(savedUptime.plus(gap));
        TimeSpan distance = difference.atLeast(difference.times(-1));
        return !distance.isLongerThan(UPTIME_TOLERANCE);
    }

    private List<PolicySnapshot.InstanceSnapshot> restoreInstances(
            PolicySnapshot.FunctionSnapshot function, TimeSpan gap, Set<String> restoredWorkers) {
        List<PolicySnapshot.InstanceSnapshot> restored = new ArrayList<>();
        for (PolicySnapshot.InstanceSnapshot instance : function.instances()) {
            TimeSpan sinceRenewed = instance.sinceRenewed().plus(gap);
            if (restoredWorkers.contains(instance.worker()) && !sinceRenewed.isLongerThan(idleTimeout)) {
                restored.add(new PolicySnapshot.InstanceSnapshot(
                        instance.worker(), instance.instances(), sinceRenewed, instance.cached()));
            }
        }
        return restored;
    }

    private static PolicySnapshot.FunctionSnapshot withInstances(
            PolicySnapshot.FunctionSnapshot function, List<PolicySnapshot.InstanceSnapshot> instances) {
        return new PolicySnapshot.FunctionSnapshot(
                function.function(),
                function.concurrency(),
                function.memoryMb(),
                function.typicalLoadTime(),
                function.recentRequests(),
                function.warmResponses(),
                function.warmSeconds(),
                instances);
    }

    /**
     * Returns the ages of the load requests that count against the quota, oldest first. A negative age comes from a
     * clock that was set back; such a request counts as just sent, which is the longest that it can count.
     */
    private List<TimeSpan> countedLoadRequests(RestartState restartState) {
        if (quotaWindow.nanos() <= 0) {
            return List.of();
        }
        List<TimeSpan> counted = new ArrayList<>();
        for (TimeSpan age : restartState.loadRequestAges()) {
            if (!age.isLongerThan(quotaWindow)) {
                counted.add(age.atLeast(TimeSpan.ZERO));
            }
        }
        while (!restartState.isLogComplete() && counted.size() < Math.ceil(quotaBurst)) {
            counted.add(TimeSpan.ZERO);
        }
        counted.sort(Comparator.reverseOrder());
        return counted;
    }

    private static String formatSeconds(TimeSpan span) {
        return String.format(Locale.ROOT, "%.1f s", span.toSeconds());
    }
}
