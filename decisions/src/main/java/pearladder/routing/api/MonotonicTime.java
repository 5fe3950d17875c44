package pearladder.routing.api;

/** A point in time on the clock that the caller hands in with every event. */
public record MonotonicTime(long nanos) implements Comparable<MonotonicTime> {
    /** The time after a span. */
    public MonotonicTime plus(TimeSpan span) {
        return new MonotonicTime(nanos + span.nanos());
    }

    /** The time before, by a span. */
    public MonotonicTime minus(TimeSpan span) {
        return new MonotonicTime(nanos - span.nanos());
    }

    /** The span since an earlier time; negative where that is later. */
    public TimeSpan since(MonotonicTime earlier) {
        return new TimeSpan(nanos - earlier.nanos);
    }

    /** Whether it is strictly earlier. */
    public boolean isBefore(MonotonicTime other) {
        return nanos < other.nanos;
    }

    @Override
    public int compareTo(MonotonicTime other) {
        return Long.compare(nanos, other.nanos);
    }
}
