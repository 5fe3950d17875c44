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
 * Decides what of a routing policy's snapshot still holds after a restart. Its one entry point is {@link #recover}.
 *
 * <p>What was learnt about a worker holds for that worker process only, so a worker counts only if its uptime now is
 * what it would have become. Decaying values decay by the time that passed. An instance counts for as long as idle
 * instances are kept. Load requests count against the load quota whatever becomes of the rest; where the event log is
 * incomplete, the full burst counts as just sent.
 *
 * <p>Concurrency limits of workers and loads in progress are not restored but learnt again: they belong to the load
 * before the restart, and restoring them lowered the score in simulations (docs/records.md).
 */
public final class SnapshotRecovery {
    /**
     * What is known at a start.
     *
     * @param snapshot the snapshot, or null where there is no readable one
     * @param gap time from the snapshot to now by the wall clock; negative where that clock was set back
     * @param loadRequestAges ages of the load requests in the event log, by the wall clock
     * @param isLogComplete whether the event log holds all load requests there were
     * @param uptimes for each worker of the last endpoint list the uptime of its process now, null where the list gives
     *     none
     */
    public record RestartState(
            PolicySnapshot snapshot,
            TimeSpan gap,
            List<TimeSpan> loadRequestAges,
            boolean isLogComplete,
            Map<String, TimeSpan> uptimes) {}

    /**
     * What the policy may start from.
     *
     * @param snapshot the part of it that still holds; without workers and functions where none of it does
     * @param reason one line for the log: how much was restored, or why nothing was
     */
    public record RecoveredState(PolicySnapshot snapshot, String reason) {}

    /** Most by which two measurements of the age of one process differ. */
    private static final TimeSpan UPTIME_TOLERANCE = TimeSpan.millis(500);
    /** Where no list gives an uptime, a worker counts as not restarted within a gap of at most this. */
    private static final TimeSpan MIN_RESTART_TIME = TimeSpan.seconds(10);
    /** A snapshot older than this many idle timeouts is not used, as hardly any instance is left then. */
    private static final double MAX_AGE_IN_IDLE_TIMEOUTS = 3;
    /** A snapshot may be at least this old, however short the idle timeout is. */
    private static final TimeSpan MIN_MAX_AGE = TimeSpan.seconds(30);

    private final TimeSpan idleTimeout;
    private final TimeSpan quotaWindow;
    private final double quotaBurst;
    private final TimeSpan maxAge;

    /**
     * Creates the recovery for one set of routing settings.
     *
     * @param idleTimeout time for which idle instances are kept
     * @param quotaWindow window of the load quota; zero where there is no quota
     * @param quotaBurst load requests that the quota always allows within the window
     */
    public SnapshotRecovery(TimeSpan idleTimeout, TimeSpan quotaWindow, double quotaBurst) {
        this.idleTimeout = idleTimeout;
        this.quotaWindow = quotaWindow;
        this.quotaBurst = quotaBurst;
        this.maxAge = idleTimeout.times(MAX_AGE_IN_IDLE_TIMEOUTS).atLeast(MIN_MAX_AGE);
    }

    /** Decides what the policy may start from. */
    public RecoveredState recover(RestartState found) {
        List<TimeSpan> loadRequestAges = countedLoadRequests(found);
        String reason = unusableReason(found);
        return reason == null ? restore(found, loadRequestAges) : restoreNothing(loadRequestAges, reason);
    }

    /** Why no part of the snapshot may be used; null where it may be. */
    private String unusableReason(RestartState found) {
        if (found.snapshot() == null) {
            return "no snapshot";
        }
        if (TimeSpan.ZERO.isLongerThan(found.gap())) {
            return "the clock stepped back by " + formatSeconds(found.gap().times(-1));
        }
        if (found.gap().isLongerThan(maxAge)) {
            return "the snapshot is " + formatSeconds(found.gap()) + " old";
        }
        String invalidPart = SnapshotValidator.findInvalidPart(found.snapshot());
        return invalidPart == null ? null : "the snapshot is none: " + invalidPart;
    }

    private static RecoveredState restoreNothing(List<TimeSpan> loadRequestAges, String reason) {
        return new RecoveredState(
                new PolicySnapshot(TimeSpan.ZERO, List.of(), List.of(), loadRequestAges, 0, 0),
                reason + "; " + loadRequestAges.size() + " load requests count");
    }

    private RecoveredState restore(RestartState found, List<TimeSpan> loadRequestAges) {
        PolicySnapshot then = found.snapshot();
        List<PolicySnapshot.WorkerSnapshot> workers = restoreWorkers(found);
        Set<String> restoredWorkers = new HashSet<>();
        workers.forEach(worker -> restoredWorkers.add(worker.worker()));
        List<PolicySnapshot.FunctionSnapshot> functions = new ArrayList<>();
        for (PolicySnapshot.FunctionSnapshot function : then.functions()) {
            functions.add(withInstances(function, restoreInstances(function, found.gap(), restoredWorkers)));
        }
        PolicySnapshot now = new PolicySnapshot(
                found.gap(), workers, functions, loadRequestAges, then.loadSeconds(), then.loadCount());
        return new RecoveredState(now, describe(then, now));
    }

    private static String describe(PolicySnapshot then, PolicySnapshot now) {
        return String.format(
                Locale.ROOT,
                "after %s: %d of %d workers, %d of %d instances, %d functions, %d load requests count",
                formatSeconds(now.age()),
                now.workers().size(),
                then.workers().size(),
                placementCount(now),
                placementCount(then),
                now.functions().size(),
                now.loadRequestAges().size());
    }

    /** Number of pairs of a function and a worker that has instances of it. */
    private static int placementCount(PolicySnapshot snapshot) {
        return snapshot.functions().stream()
                .mapToInt(function -> function.instances().size())
                .sum();
    }

    /** The workers that run the same process as then, with their present uptime and remaining ejection time. */
    private static List<PolicySnapshot.WorkerSnapshot> restoreWorkers(RestartState found) {
        List<PolicySnapshot.WorkerSnapshot> restored = new ArrayList<>();
        for (PolicySnapshot.WorkerSnapshot worker : found.snapshot().workers()) {
            String id = worker.worker();
            if (!found.uptimes().containsKey(id)) {
                continue;
            }
            TimeSpan uptime = found.uptimes().get(id);
            if (isSameProcess(worker.uptime(), uptime, found.gap())) {
                TimeSpan ejectedFor = worker.ejectedFor().minus(found.gap()).atLeast(TimeSpan.ZERO);
                restored.add(new PolicySnapshot.WorkerSnapshot(id, uptime, ejectedFor));
            }
        }
        return restored;
    }

    /** Whether an uptime is that of the same process after the gap; null stands for an unknown uptime. */
    private static boolean isSameProcess(TimeSpan then, TimeSpan now, TimeSpan gap) {
        if (then == null || now == null) {
            return then == null && now == null && !gap.isLongerThan(MIN_RESTART_TIME);
        }
        TimeSpan difference = now.minus(then.plus(gap));
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
     * Ages of the load requests that count against the quota, oldest first. A negative age comes from a clock that was
     * set back; such a request counts as just sent, the longest that it can count.
     */
    private List<TimeSpan> countedLoadRequests(RestartState found) {
        if (quotaWindow.nanos() <= 0) {
            return List.of();
        }
        List<TimeSpan> counted = new ArrayList<>();
        for (TimeSpan age : found.loadRequestAges()) {
            if (!age.isLongerThan(quotaWindow)) {
                counted.add(age.atLeast(TimeSpan.ZERO));
            }
        }
        while (!found.isLogComplete() && counted.size() < Math.ceil(quotaBurst)) {
            counted.add(TimeSpan.ZERO);
        }
        counted.sort(Comparator.reverseOrder());
        return counted;
    }

    private static String formatSeconds(TimeSpan span) {
        return String.format(Locale.ROOT, "%.1f s", span.toSeconds());
    }
}
