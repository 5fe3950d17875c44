package pearladder.routing.api;

/** A point in time on the clock that the caller hands in with every event. */
public record MonotonicTime(long nanos) implements Comparable<MonotonicTime> {
    public MonotonicTime plus(TimeSpan span) {
        return new MonotonicTime(nanos + span.nanos());
    }

    public MonotonicTime minus(TimeSpan span) {
        return new MonotonicTime(nanos - span.nanos());
    }

    public TimeSpan since(MonotonicTime earlier) {
        return new TimeSpan(nanos - earlier.nanos);
    }

    public boolean isBefore(MonotonicTime other) {
        return nanos < other.nanos;
    }

    @Override
    public int compareTo(MonotonicTime other) {
        return Long.compare(nanos, other.nanos);
    }
}
