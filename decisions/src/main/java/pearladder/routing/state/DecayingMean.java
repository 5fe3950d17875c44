package pearladder.routing.state;

import pearladder.routing.api.MonotonicTime;
import pearladder.routing.api.TimeSpan;

/** A weighted mean whose samples lose weight exponentially with age, with a prior that never decays. */
public final class DecayingMean {
    private final DecayingSum sum;
    private final DecayingSum weight;
    private final double priorSum;
    private final double priorWeight;

    /**
     * @param decayTime the time after which a sample's weight has fallen to 1/e
     * @param priorSum the prior's contribution to the weighted sum
     * @param priorWeight the prior's weight; must be above 0 if the mean is read before the first sample
     */
    public DecayingMean(TimeSpan decayTime, double priorSum, double priorWeight) {
        this.sum = new DecayingSum(decayTime);
        this.weight = new DecayingSum(decayTime);
        this.priorSum = priorSum;
        this.priorWeight = priorWeight;
    }

    /** Adds one sample of weight 1. */
    public void add(MonotonicTime now, double value) {
        addWeighted(now, value, 1);
    }

    /**
     * Adds one or more weighted samples.
     *
     * @param weightedValue the sum of the samples' values, each multiplied by its weight
     * @param addedWeight the sum of the samples' weights
     */
    public void addWeighted(MonotonicTime now, double weightedValue, double addedWeight) {
        sum.add(now, weightedValue);
        weight.add(now, addedWeight);
    }

    /** Returns the mean of the samples and the prior. */
    public double valueAt(MonotonicTime now) {
        return (sum.valueAt(now) + priorSum) / (weight.valueAt(now) + priorWeight);
    }

    /** Returns the decayed sum of weighted values, without the prior. */
    public double sum(MonotonicTime now) {
        return sum.valueAt(now);
    }

    /** Returns the decayed sum of weights, without the prior. */
    public double weight(MonotonicTime now) {
        return weight.valueAt(now);
    }
}
