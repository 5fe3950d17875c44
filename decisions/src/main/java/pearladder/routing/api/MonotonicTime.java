package pearladder.routing.api;

/** A point in time on the monotonic clock of the caller, which passes it in with every event. */
public record MonotonicTime(long nanos) implements Comparable<MonotonicTime> {
    /** Returns the time that is the given span later. */
    public MonotonicTime plus(TimeSpan span) {
        return new MonotonicTime(nanos + span.nanos());
    }

    /** Returns the time that is the given span earlier. */
    public MonotonicTime minus(TimeSpan span) {
        return new MonotonicTime(nanos - span.nanos());
    }

    /** Returns the span from an earlier time to this one; negative if the other time is later. */
    public TimeSpan since(MonotonicTime earlier) {
        return new TimeSpan(nanos - earlier.nanos);
    }

    /** Returns whether this time is strictly earlier than another. */
    public boolean isBefore(MonotonicTime other) {
        return nanos < other.nanos;
    }

    @Override
    public int compareTo(MonotonicTime other) {
        return Long.compare(nanos, other.nanos);
    }
}
