package pearladder.routing.api;

/** A length of time in nanoseconds; negative where a time lies ahead. */
public record TimeSpan(long nanos) implements Comparable<TimeSpan> {
    /** No time. */
    public static final TimeSpan ZERO = new TimeSpan(0);

    /** A span of whole milliseconds. */
    public static TimeSpan millis(long millis) {
        return new TimeSpan(millis * 1_000_000L);
    }

    /** A span of seconds, rounded to nanoseconds. */
    public static TimeSpan seconds(double seconds) {
        return new TimeSpan(Math.round(seconds * 1e9));
    }

    /** The span in seconds. */
    public double toSeconds() {
        return nanos / 1e9;
    }

    /** The whole milliseconds of the span. */
    public long toMillis() {
        return nanos / 1_000_000L;
    }

    /** The sum of both. */
    public TimeSpan plus(TimeSpan other) {
        return new TimeSpan(nanos + other.nanos);
    }

    /** The difference of both. */
    public TimeSpan minus(TimeSpan other) {
        return new TimeSpan(nanos - other.nanos);
    }

    /** The multiple, rounded to nanoseconds. */
    public TimeSpan times(double factor) {
        return new TimeSpan(Math.round(nanos * factor));
    }

    /** The ratio of both. */
    public double dividedBy(TimeSpan other) {
        return (double) nanos / other.nanos;
    }

    /** Whether it is strictly longer. */
    public boolean isLongerThan(TimeSpan other) {
        return nanos > other.nanos;
    }

    /** The shorter of both. */
    public TimeSpan atMost(TimeSpan other) {
        return nanos <= other.nanos ? this : other;
    }

    /** The longer of both. */
    public TimeSpan atLeast(TimeSpan other) {
        return nanos >= other.nanos ? this : other;
    }

    @Override
    public int compareTo(TimeSpan other) {
        return Long.compare(nanos, other.nanos);
    }
}
