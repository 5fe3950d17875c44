package pearladder.routing.state;

import java.util.stream.DoubleStream;

/** Computes the median of a list of measures. */
public final class Median {
    private Median() {}

    /** Returns the upper median, or 0 if there are no values. */
    public static double of(DoubleStream values) {
        double[] sorted = values.sorted().toArray();
        return sorted.length == 0 ? 0 : sorted[sorted.length / 2];
    }
}
