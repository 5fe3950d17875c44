package pearladder.api;

/** A point in time on the clock that the caller hands in with every event. */
public record Moment(long nanos) implements Comparable<Moment> {
    public Moment plus(Span span) {
        return new Moment(nanos + span.nanos());
    }

    public Moment minus(Span span) {
        return new Moment(nanos - span.nanos());
    }

    public Span since(Moment earlier) {
        return new Span(nanos - earlier.nanos);
    }

    public boolean before(Moment other) {
        return nanos < other.nanos;
    }

    @Override
    public int compareTo(Moment other) {
        return Long.compare(nanos, other.nanos);
    }
}
