package pearladder.traces;

import java.util.PriorityQueue;
import java.util.function.Consumer;

/**
 * Sorts requests by arrival time, within a window of time and a bound on the requests held: a request that comes
 * later than the window is left out and reported. Requests with equal arrival times keep the order of their lines.
 */
final class ReorderBuffer implements Consumer<TraceRequest> {
    private record BufferedRequest(TraceRequest request, long number) implements Comparable<BufferedRequest> {
        @Override
        public int compareTo(BufferedRequest other) {
            int byTime = Long.compare(request.at(), other.request.at());
            return byTime != 0 ? byTime : Long.compare(number, other.number);
        }
    }

    private static final long NANOS_PER_MILLI = 1_000_000;

    private final long windowNanos;
    private final int maxBuffered;
    private final SkippedRows skipped;
    private final Consumer<TraceRequest> out;
    private final PriorityQueue<BufferedRequest> buffered = new PriorityQueue<>();
    private long added;
    private long latestArrival = Long.MIN_VALUE;
    private long lastReleased = Long.MIN_VALUE;
    private long reordered;

    /**
     * Creates an empty buffer.
     *
     * @param windowNanos longest time by which a request may be out of order; Long.MAX_VALUE for no bound
     * @param maxBuffered number of requests held at once
     */
    ReorderBuffer(long windowNanos, int maxBuffered, SkippedRows skipped, Consumer<TraceRequest> out) {
        this.windowNanos = windowNanos;
        this.maxBuffered = maxBuffered;
        this.skipped = skipped;
        this.out = out;
    }

    @Override
    public void accept(TraceRequest request) {
        if (request.at() < lastReleased) {
            skipped.add(
                    request.line(),
                    "",
                    "out of time order beyond the window",
                    "by " + (lastReleased - request.at()) / NANOS_PER_MILLI + " ms");
            return;
        }
        reordered += request.at() < latestArrival ? 1 : 0;
        latestArrival = Math.max(latestArrival, request.at());
        buffered.add(new BufferedRequest(request, added++));
        while (buffered.size() > maxBuffered || oldestIsBeyondWindow()) {
            releaseEarliest();
        }
    }

    private boolean oldestIsBeyondWindow() {
        return !buffered.isEmpty()
                && windowNanos != Long.MAX_VALUE
                && latestArrival - buffered.peek().request().at() > windowNanos;
    }

    private void releaseEarliest() {
        TraceRequest request = buffered.poll().request();
        lastReleased = request.at();
        out.accept(request);
    }

    /** Releases all buffered requests; called at the end of the file. */
    void flush() {
        while (!buffered.isEmpty()) {
            releaseEarliest();
        }
    }

    /** Returns the number of requests that arrived out of order and were put in order. */
    long reorderedCount() {
        return reordered;
    }
}
