package pearladder.traces;

import java.util.PriorityQueue;
import java.util.function.Consumer;

/**
 * Puts calls in the order of their arrival, as far as a window of time and a bound on calls held let it: a call that
 * comes later than the window is left out and named. Calls of the same moment keep the order of their lines.
 */
final class ReorderBuffer implements Consumer<TraceCall> {
    private record Held(TraceCall call, long number) implements Comparable<Held> {
        @Override
        public int compareTo(Held other) {
            int byTime = Long.compare(call.at(), other.call.at());
            return byTime != 0 ? byTime : Long.compare(number, other.number);
        }
    }

    private final long window;
    private final int most;
    private final SkippedRows skipped;
    private final Consumer<TraceCall> out;
    private final PriorityQueue<Held> held = new PriorityQueue<>();
    private long numbered;
    private long newest = Long.MIN_VALUE;
    private long given = Long.MIN_VALUE;
    private long moved;

    /** @param window nanoseconds, or Long.MAX_VALUE to hold all; @param most calls held at once */
    ReorderBuffer(long window, int most, SkippedRows skipped, Consumer<TraceCall> out) {
        this.window = window;
        this.most = most;
        this.skipped = skipped;
        this.out = out;
    }

    @Override
    public void accept(TraceCall call) {
        if (call.at() < given) {
            skipped.add(
                    call.line(),
                    "",
                    "out of time order beyond the window",
                    "by " + (given - call.at()) / 1_000_000 + " ms");
            return;
        }
        moved += call.at() < newest ? 1 : 0;
        newest = Math.max(newest, call.at());
        held.add(new Held(call, numbered++));
        while (held.size() > most
                || !held.isEmpty()
                        && window != Long.MAX_VALUE
                        && newest - held.peek().call().at() > window) {
            give();
        }
    }

    private void give() {
        TraceCall call = held.poll().call();
        given = call.at();
        out.accept(call);
    }

    /** The file has ended: what is held goes out in order. */
    void end() {
        while (!held.isEmpty()) {
            give();
        }
    }

    /** Calls that came out of order and were put right. */
    long moved() {
        return moved;
    }
}
