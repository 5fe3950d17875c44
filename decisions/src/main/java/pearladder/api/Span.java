package pearladder.api;

/** A length of time. */
public record Span(long nanos) implements Comparable<Span> {
    public static final Span NONE = new Span(0);

    public static Span millis(long millis) {
        return new Span(millis * 1_000_000L);
    }

    public static Span seconds(double seconds) {
        return new Span(Math.round(seconds * 1e9));
    }

    public double inSeconds() {
        return nanos / 1e9;
    }

    public long inMillis() {
        return nanos / 1_000_000L;
    }

    public Span plus(Span other) {
        return new Span(nanos + other.nanos);
    }

    public Span minus(Span other) {
        return new Span(nanos - other.nanos);
    }

    public Span times(double factor) {
        return new Span(Math.round(nanos * factor));
    }

    public double over(Span other) {
        return (double) nanos / other.nanos;
    }

    public boolean longerThan(Span other) {
        return nanos > other.nanos;
    }

    public Span atMost(Span other) {
        return nanos <= other.nanos ? this : other;
    }

    public Span atLeast(Span other) {
        return nanos >= other.nanos ? this : other;
    }

    @Override
    public int compareTo(Span other) {
        return Long.compare(nanos, other.nanos);
    }
}
