package pearladder.routing.api;

/** A length of time. */
public record TimeSpan(long nanos) implements Comparable<TimeSpan> {
    public static final TimeSpan ZERO = new TimeSpan(0);

    public static TimeSpan millis(long millis) {
        return new TimeSpan(millis * 1_000_000L);
    }

    public static TimeSpan seconds(double seconds) {
        return new TimeSpan(Math.round(seconds * 1e9));
    }

    public double toSeconds() {
        return nanos / 1e9;
    }

    public long toMillis() {
        return nanos / 1_000_000L;
    }

    public TimeSpan plus(TimeSpan other) {
        return new TimeSpan(nanos + other.nanos);
    }

    public TimeSpan minus(TimeSpan other) {
        return new TimeSpan(nanos - other.nanos);
    }

    public TimeSpan times(double factor) {
        return new TimeSpan(Math.round(nanos * factor));
    }

    public double dividedBy(TimeSpan other) {
        return (double) nanos / other.nanos;
    }

    public boolean isLongerThan(TimeSpan other) {
        return nanos > other.nanos;
    }

    public TimeSpan atMost(TimeSpan other) {
        return nanos <= other.nanos ? this : other;
    }

    public TimeSpan atLeast(TimeSpan other) {
        return nanos >= other.nanos ? this : other;
    }

    @Override
    public int compareTo(TimeSpan other) {
        return Long.compare(nanos, other.nanos);
    }
}
