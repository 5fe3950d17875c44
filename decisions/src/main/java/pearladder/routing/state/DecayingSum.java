package pearladder.routing.state;

import pearladder.routing.api.MonotonicTime;
import pearladder.routing.api.TimeSpan;

/**
 * A sum of amounts that decay exponentially with age. The decay is applied at each read and addition, so that the last
 * digits of the result depend on the times of earlier reads.
 */
public final class DecayingSum {
    private final TimeSpan decayTime;
    private double sum;
    private MonotonicTime updatedAt;

    /** @param decayTime the time after which an amount has decayed to 1/e */
    public DecayingSum(TimeSpan decayTime) {
        this.decayTime = decayTime;
    }

    /** Returns the sum, decayed up to the given time. */
    public double valueAt(MonotonicTime now) {
        if (updatedAt == null) {
            return 0;
        }
        if (sum != 0 && updatedAt.isBefore(now)) {
            sum *= Math.exp(-now.since(updatedAt).dividedBy(decayTime));
            updatedAt = now;
        }
        return sum;
    }

    /** Adds an amount of age 0; if the time is before the last one, no decay is applied. */
    public void add(MonotonicTime now, double amount) {
        valueAt(now);
        updatedAt = now;
        sum += amount;
    }

    /** Sets the sum to 0. */
    public void clear() {
        sum = 0;
    }

    /** Returns the sum as a rate: the constant amount per second that would result in this sum. */
    public double perSecond(MonotonicTime now) {
        return valueAt(now) / decayTime.toSeconds();
    }
}
