package pearladder.routing.api;

/** A length of time in nanoseconds; negative for the span since a time in the future. */
public record TimeSpan(long nanos) implements Comparable<TimeSpan> {
    /** A span of length zero. */
    public static final TimeSpan ZERO = new TimeSpan(0);

    /** Returns a span of whole milliseconds. */
    public static TimeSpan millis(long millis) {
        return new TimeSpan(millis * 1_000_000L);
    }

    /** Returns a span of seconds, rounded to nanoseconds. */
    public static TimeSpan seconds(double seconds) {
        return new TimeSpan(Math.round(seconds * 1e9));
    }

    /** Returns this span in seconds. */
    public double toSeconds() {
        return nanos / 1e9;
    }

    /** Returns this span in whole milliseconds, truncated towards zero. */
    public long toMillis() {
        return nanos / 1_000_000L;
    }

    /** Returns the sum of this span and another. */
    public TimeSpan plus(TimeSpan other) {
        return new TimeSpan(nanos + other.nanos);
    }

    /** Returns this span less another. */
    public TimeSpan minus(TimeSpan other) {
        return new TimeSpan(nanos - other.nanos);
    }

    /** Returns this span multiplied by a factor, rounded to nanoseconds. */
    public TimeSpan times(double factor) {
        return new TimeSpan(Math.round(nanos * factor));
    }

    /** Returns the ratio of this span to another. */
    public double dividedBy(TimeSpan other) {
        return (double) nanos / other.nanos;
    }

    /** Returns whether this span is strictly longer than another. */
    public boolean isLongerThan(TimeSpan other) {
        return nanos > other.nanos;
    }

    /** Returns the shorter of this span and another. */
    public TimeSpan atMost(TimeSpan other) {
        return nanos <= other.nanos ? this : other;
    }

    /** Returns the longer of this span and another. */
    public TimeSpan atLeast(TimeSpan other) {
        return nanos >= other.nanos ? this : other;
    }

    @Override
    public int compareTo(TimeSpan other) {
        return Long.compare(nanos, other.nanos);
    }
}
