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
     * @param decayTime the time after which a sample weighs 1/e
     * @param priorSum what the prior adds to the sum
     * @param priorWeight what the prior adds to the weight; above 0 where the mean is read before any sample
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

    /** Adds samples whose values, each times its weight, sum to the first amount, with the sum of their weights. */
    public void addWeighted(MonotonicTime now, double weightedValue, double addedWeight) {
        sum.add(now, weightedValue);
        weight.add(now, addedWeight);
    }

    /** The mean of the samples and the prior. */
    public double read(MonotonicTime now) {
        return (sum.read(now) + priorSum) / (weight.read(now) + priorWeight);
    }

    /** The decayed sum of weighted values, without the prior. */
    public double sum(MonotonicTime now) {
        return sum.read(now);
    }

    /** The decayed sum of weights, without the prior. */
    public double weight(MonotonicTime now) {
        return weight.read(now);
    }
}
