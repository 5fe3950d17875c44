package pearladder.traces;

import java.util.PriorityQueue;
import java.util.function.Consumer;

/**
 * Puts requests in the order of their arrival, within a window of time and a bound on requests held: one that comes
 * later than the window is left out and reported. Requests of the same moment keep the order of their lines.
 */
final class ReorderBuffer implements Consumer<TraceRequest> {
    private record Held(TraceRequest request, long number) implements Comparable<Held> {
        @Override
        public int compareTo(Held other) {
            int byTime = Long.compare(request.at(), other.request.at());
            return byTime != 0 ? byTime : Long.compare(number, other.number);
        }
    }

    private static final long NANOS_PER_MILLI = 1_000_000;

    private final long window;
    private final int maxHeld;
    private final SkippedRows skipped;
    private final Consumer<TraceRequest> out;
    private final PriorityQueue<Held> held = new PriorityQueue<>();
    private long added;
    private long newest = Long.MIN_VALUE;
    private long lastGiven = Long.MIN_VALUE;
    private long reordered;

    /**
     * Creates an empty buffer.
     *
     * @param window nanoseconds, or Long.MAX_VALUE for no bound
     * @param maxHeld requests held at once
     */
    ReorderBuffer(long window, int maxHeld, SkippedRows skipped, Consumer<TraceRequest> out) {
        this.window = window;
        this.maxHeld = maxHeld;
        this.skipped = skipped;
        this.out = out;
    }

    @Override
    public void accept(TraceRequest request) {
        if (request.at() < lastGiven) {
            skipped.add(
                    request.line(),
                    "",
                    "out of time order beyond the window",
                    "by " + (lastGiven - request.at()) / NANOS_PER_MILLI + " ms");
            return;
        }
        reordered += request.at() < newest ? 1 : 0;
        newest = Math.max(newest, request.at());
        held.add(new Held(request, added++));
        while (held.size() > maxHeld || oldestIsBeyondWindow()) {
            give();
        }
    }

    private boolean oldestIsBeyondWindow() {
        return !held.isEmpty()
                && window != Long.MAX_VALUE
                && newest - held.peek().request().at() > window;
    }

    private void give() {
        TraceRequest request = held.poll().request();
        lastGiven = request.at();
        out.accept(request);
    }

    /** Gives all that is held; the file has ended. */
    void end() {
        while (!held.isEmpty()) {
            give();
        }
    }

    /** How many came out of order and were put right. */
    long moved() {
        return reordered;
    }
}
