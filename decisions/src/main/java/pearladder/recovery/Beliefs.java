package pearladder.recovery;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import pearladder.api.Span;
import pearladder.state.Known;

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
public final class Beliefs {
    /**
     * What was found at a start.
     *
     * @param known the snapshot, or null where there is none that can be read
     * @param gap from the snapshot to now by the wall clock; negative where that stepped back
     * @param orders the ages of the orders that the records tell, counted by the wall clock
     * @param whole whether the records are: what they tell is all there was
     * @param up of each worker on the last list the age of its process now, null where the list doesn't tell
     */
    public record Found(Known known, Span gap, List<Span> orders, boolean whole, Map<String, Span> up) {}

    /** What may be believed, and a line with figures. */
    public record Believed(Known known, String why) {}

    /** Two ages of one process, told by two clocks, differ by no more. */
    private static final Span SAME = Span.millis(500);
    /** Where no list tells a process's age, only a gap that is too short for a restart is passed over. */
    private static final Span TOO_SHORT = Span.seconds(10);

    private static final int MOST_COPIES = 64;

    private final Span kept;
    private final Span window;
    private final double free;
    private final Span old;

    /**
     * @param kept idle copies are kept for so long
     * @param window of the ration of load orders; none for no ration
     * @param free orders that it always allows
     */
    public Beliefs(Span kept, Span window, double free) {
        this.kept = kept;
        this.window = window;
        this.free = free;
        this.old = kept.times(3).atLeast(Span.seconds(30));
    }

    /** What the module may start from. */
    public Believed after(Found found) {
        List<Span> orders = orders(found);
        if (found.known() == null) {
            return nothing(orders, "no snapshot");
        }
        if (found.gap().nanos() < 0) {
            return nothing(
                    orders, "the clock stepped back by " + seconds(found.gap().times(-1)));
        }
        if (found.gap().longerThan(old)) {
            return nothing(orders, "the snapshot is " + seconds(found.gap()) + " old");
        }
        String poison = poison(found.known());
        if (!poison.isEmpty()) {
            return nothing(orders, "the snapshot is none: " + poison);
        }
        Span gap = found.gap();
        Set<String> same = new HashSet<>();
        List<Known.OfWorker> workers = new ArrayList<>();
        for (Known.OfWorker worker : found.known().workers()) {
            if (found.up().containsKey(worker.worker())
                    && same(worker.up(), found.up().get(worker.worker()), gap)) {
                same.add(worker.worker());
                workers.add(new Known.OfWorker(
                        worker.worker(),
                        found.up().get(worker.worker()),
                        worker.aside().minus(gap).atLeast(Span.NONE)));
            }
        }
        int copies = 0;
        int had = 0;
        List<Known.OfFunction> functions = new ArrayList<>();
        for (Known.OfFunction function : found.known().functions()) {
            List<Known.Copy> held = new ArrayList<>();
            for (Known.Copy copy : function.copies()) {
                Span untouched = copy.untouched().plus(gap);
                if (same.contains(copy.worker()) && !untouched.longerThan(kept)) {
                    held.add(new Known.Copy(copy.worker(), copy.instances(), untouched, copy.listed()));
                }
            }
            copies += held.size();
            had += function.copies().size();
            functions.add(new Known.OfFunction(
                    function.function(),
                    function.lanes(),
                    function.memoryMb(),
                    function.usualLoad(),
                    function.calls(),
                    function.warmAnswers(),
                    function.warmSeconds(),
                    held));
        }
        Known now = new Known(
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

    private static Believed nothing(List<Span> orders, String why) {
        return new Believed(
                new Known(Span.NONE, List.of(), List.of(), orders, 0, 0), why + "; " + orders.size() + " orders count");
    }

    private static String seconds(Span span) {
        return String.format(Locale.ROOT, "%.1f s", span.inSeconds());
    }

    /** Ages by a clock that stepped back are unknown: such an order counts as sent now, which is the longest it can. */
    private List<Span> orders(Found found) {
        if (window.nanos() <= 0) {
            return List.of();
        }
        List<Span> counted = new ArrayList<>();
        for (Span age : found.orders()) {
            if (!age.longerThan(window)) {
                counted.add(age.atLeast(Span.NONE));
            }
        }
        while (!found.whole() && counted.size() < Math.ceil(free)) {
            counted.add(Span.NONE);
        }
        counted.sort((a, b) -> b.compareTo(a));
        return counted;
    }

    private static boolean same(Span then, Span now, Span gap) {
        if (then == null || now == null) {
            return then == null && now == null && !gap.longerThan(TOO_SHORT);
        }
        Span apart = now.minus(then.plus(gap));
        return !apart.atLeast(apart.times(-1)).longerThan(SAME);
    }

    /** What no module ever held: such a snapshot was written by something else, or by a fault, and none of it is believed. */
    private static String poison(Known known) {
        if (negative(known.age()) || !plain(known.loadSeconds()) || !plain(known.loadCount())) {
            return "figures that can't be";
        }
        Set<String> named = new HashSet<>();
        for (Known.OfWorker worker : known.workers()) {
            if (negative(worker.aside())
                    || worker.up() != null && negative(worker.up())
                    || worker.aside().longerThan(Span.seconds(3600))
                    || !named.add(worker.worker())) {
                return "worker " + worker.worker();
            }
        }
        Set<String> functions = new HashSet<>();
        for (Known.OfFunction function : known.functions()) {
            if (!functions.add(function.function())
                    || function.lanes() < 1
                    || !plain(function.memoryMb())
                    || !plain(function.calls())
                    || !plain(function.warmAnswers())
                    || !plain(function.warmSeconds())
                    || function.usualLoad() != null && negative(function.usualLoad())) {
                return "function " + function.function();
            }
            Set<String> places = new HashSet<>();
            for (Known.Copy copy : function.copies()) {
                if (copy.instances() < 1
                        || copy.instances() > MOST_COPIES
                        || negative(copy.untouched())
                        || !places.add(copy.worker())) {
                    return "the copies of " + function.function();
                }
            }
        }
        return "";
    }

    private static boolean negative(Span span) {
        return span.nanos() < 0;
    }

    private static boolean plain(double figure) {
        return figure >= 0 && figure < 1e12;
    }
}
