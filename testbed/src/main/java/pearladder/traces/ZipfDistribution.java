package pearladder.traces;

import java.util.Arrays;

/** Zipf's law over ranks from 0 on: rank i is drawn in proportion to 1 / (i + 1) to the power of the exponent. */
public final class ZipfDistribution {
    /** Cumulative weights, by rank. */
    private final double[] cumulative;

    /**
     * Creates a distribution.
     *
     * @param ranks number of ranks, at least 1
     * @param exponent 0 for a uniform distribution
     */
    public ZipfDistribution(int ranks, double exponent) {
        cumulative = new double[ranks];
        double sum = 0;
        for (int i = 0; i < ranks; i++) {
            sum += Math.pow(i + 1, -exponent);
            cumulative[i] = sum;
        }
    }

    /**
     * Returns the rank for a random number, by binary search.
     *
     * @param uniform random number from 0 (inclusive) to 1 (exclusive)
     */
    public int rank(double uniform) {
        int last = cumulative.length - 1;
        int found = Arrays.binarySearch(cumulative, uniform * cumulative[last]);
        return Math.min(last, found < 0 ? -found - 1 : found);
    }
}
