package pearladder.recovery;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import pearladder.routing.api.TimeSpan;
import pearladder.routing.state.PolicySnapshot;

/**
 * What may be believed after a gap. Its one entry point is {@link #after}: a snapshot, how long ago it was taken and what
 * the last list says go in; what the module may start from, and why the rest may not, come out.
 *
 * What was learnt of a process holds for that process only, so a worker counts whose process is as old as it would have
 * become. What fades, fades by real time. A copy holds for as long as idle ones are kept. Orders count for the ration
 * whatever else is believed; where the records can't tell them, all that the ration allows counts as sent just now.
 *
 * What a worker bears and what loads may be under way are left to be learnt anew: they were another load's, and believing them
 * cost credit in rehearsals (docs/records.md).
 */
public final class SnapshotRecovery {
    /**
     * What was found at a start.
     *
     * @param known the snapshot, or null where there is none that can be read
     * @param gap from the snapshot to now by the wall clock; negative where that stepped back
     * @param orders the ages of the orders that the records tell, counted by the wall clock
     * @param whole whether the records are: what they tell is all there was
     * @param up of each worker on the last list the age of its process now, null where the list doesn't tell
     */
    public record Found(
            PolicySnapshot known, TimeSpan gap, List<TimeSpan> orders, boolean whole, Map<String, TimeSpan> up) {}

    /** What may be believed, and a line with figures. */
    public record Believed(PolicySnapshot known, String why) {}

    /** Two ages of one process, told by two clocks, differ by no more. */
    private static final TimeSpan SAME = TimeSpan.millis(500);
    /** Where no list tells a process's age, only a gap that is too short for a restart is passed over. */
    private static final TimeSpan TOO_SHORT = TimeSpan.seconds(10);

    private static final int MOST_COPIES = 64;

    private final TimeSpan kept;
    private final TimeSpan window;
    private final double free;
    private final TimeSpan old;

    /**
     * @param kept idle copies are kept for so long
     * @param window of the ration of load orders; none for no ration
     * @param free orders that it always allows
     */
    public SnapshotRecovery(TimeSpan kept, TimeSpan window, double free) {
        this.kept = kept;
        this.window = window;
        this.free = free;
        this.old = kept.times(3).atLeast(TimeSpan.seconds(30));
    }

    /** What the module may start from. */
    public Believed after(Found found) {
        List<TimeSpan> orders = orders(found);
        if (found.known() == null) {
            return nothing(orders, "no snapshot");
        }
        if (found.gap().nanos() < 0) {
            return nothing(
                    orders, "the clock stepped back by " + seconds(found.gap().times(-1)));
        }
        if (found.gap().isLongerThan(old)) {
            return nothing(orders, "the snapshot is " + seconds(found.gap()) + " old");
        }
        String poison = poison(found.known());
        if (!poison.isEmpty()) {
            return nothing(orders, "the snapshot is none: " + poison);
        }
        TimeSpan gap = found.gap();
        Set<String> same = new HashSet<>();
        List<PolicySnapshot.WorkerSnapshot> workers = new ArrayList<>();
        for (PolicySnapshot.WorkerSnapshot worker : found.known().workers()) {
            if (found.up().containsKey(worker.worker())
                    && same(worker.uptime(), found.up().get(worker.worker()), gap)) {
                same.add(worker.worker());
                workers.add(new PolicySnapshot.WorkerSnapshot(
                        worker.worker(),
                        found.up().get(worker.worker()),
                        worker.ejectedFor().minus(gap).atLeast(TimeSpan.ZERO)));
            }
        }
        int copies = 0;
        int had = 0;
        List<PolicySnapshot.FunctionSnapshot> functions = new ArrayList<>();
        for (PolicySnapshot.FunctionSnapshot function : found.known().functions()) {
            List<PolicySnapshot.InstanceSnapshot> held = new ArrayList<>();
            for (PolicySnapshot.InstanceSnapshot copy : function.instances()) {
                TimeSpan untouched = copy.sinceRenewed().plus(gap);
                if (same.contains(copy.worker()) && !untouched.isLongerThan(kept)) {
                    held.add(new PolicySnapshot.InstanceSnapshot(
                            copy.worker(), copy.instances(), untouched, copy.cached()));
                }
            }
            copies += held.size();
            had += function.instances().size();
            functions.add(new PolicySnapshot.FunctionSnapshot(
                    function.function(),
                    function.concurrency(),
                    function.memoryMb(),
                    function.typicalLoadTime(),
                    function.recentRequests(),
                    function.warmResponses(),
                    function.warmSeconds(),
                    held));
        }
        PolicySnapshot now = new PolicySnapshot(
                gap,
                workers,
                functions,
                orders,
                found.known().loadSeconds(),
                found.known().loadCount());
        return new Believed(
                now,
                String.format(
                        Locale.ROOT,
                        "after %s: %d of %d workers, %d of %d copies, %d functions, %d orders" + " count",
                        seconds(gap),
                        workers.size(),
                        found.known().workers().size(),
                        copies,
                        had,
                        functions.size(),
                        orders.size()));
    }

    private static Believed nothing(List<TimeSpan> orders, String why) {
        return new Believed(
                new PolicySnapshot(TimeSpan.ZERO, List.of(), List.of(), orders, 0, 0),
                why + "; " + orders.size() + " orders count");
    }

    private static String seconds(TimeSpan span) {
        return String.format(Locale.ROOT, "%.1f s", span.toSeconds());
    }

    /** Ages by a clock that stepped back are unknown: such an order counts as sent now, which is the longest it can. */
    private List<TimeSpan> orders(Found found) {
        if (window.nanos() <= 0) {
            return List.of();
        }
        List<TimeSpan> counted = new ArrayList<>();
        for (TimeSpan age : found.orders()) {
            if (!age.isLongerThan(window)) {
                counted.add(age.atLeast(TimeSpan.ZERO));
            }
        }
        while (!found.whole() && counted.size() < Math.ceil(free)) {
            counted.add(TimeSpan.ZERO);
        }
        counted.sort((a, b) -> b.compareTo(a));
        return counted;
    }

    private static boolean same(TimeSpan then, TimeSpan now, TimeSpan gap) {
        if (then == null || now == null) {
            return then == null && now == null && !gap.isLongerThan(TOO_SHORT);
        }
        TimeSpan apart = now.minus(then.plus(gap));
        return !apart.atLeast(apart.times(-1)).isLongerThan(SAME);
    }

    /** What no module ever held: such a snapshot was written by something else, or by a fault, and none of it is believed. */
    private static String poison(PolicySnapshot known) {
        if (negative(known.age()) || !plain(known.loadSeconds()) || !plain(known.loadCount())) {
            return "figures that can't be";
        }
        Set<String> named = new HashSet<>();
        for (PolicySnapshot.WorkerSnapshot worker : known.workers()) {
            if (negative(worker.ejectedFor())
                    || worker.uptime() != null && negative(worker.uptime())
                    || worker.ejectedFor().isLongerThan(TimeSpan.seconds(3600))
                    || !named.add(worker.worker())) {
                return "worker " + worker.worker();
            }
        }
        Set<String> functions = new HashSet<>();
        for (PolicySnapshot.FunctionSnapshot function : known.functions()) {
            if (!functions.add(function.function())
                    || function.concurrency() < 1
                    || !plain(function.memoryMb())
                    || !plain(function.recentRequests())
                    || !plain(function.warmResponses())
                    || !plain(function.warmSeconds())
                    || function.typicalLoadTime() != null && negative(function.typicalLoadTime())) {
                return "function " + function.function();
            }
            Set<String> places = new HashSet<>();
            for (PolicySnapshot.InstanceSnapshot copy : function.instances()) {
                if (copy.instances() < 1
                        || copy.instances() > MOST_COPIES
                        || negative(copy.sinceRenewed())
                        || !places.add(copy.worker())) {
                    return "the copies of " + function.function();
                }
            }
        }
        return "";
    }

    private static boolean negative(TimeSpan span) {
        return span.nanos() < 0;
    }

    private static boolean plain(double figure) {
        return figure >= 0 && figure < 1e12;
    }
}
