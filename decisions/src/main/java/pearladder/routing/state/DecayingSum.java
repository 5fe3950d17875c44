package pearladder.routing.state;

import pearladder.routing.api.MonotonicTime;
import pearladder.routing.api.TimeSpan;

/**
 * A sum whose parts decay exponentially with age, brought up to date when read or added to. The result depends in its
 * last digits on when it was read.
 */
public final class DecayingSum {
    private final TimeSpan decayTime;
    private double sum;
    private MonotonicTime updatedAt;

    /** @param decayTime the time after which a part counts 1/e */
    public DecayingSum(TimeSpan decayTime) {
        this.decayTime = decayTime;
    }

    /** The sum now. */
    public double read(MonotonicTime now) {
        if (updatedAt == null) {
            return 0;
        }
        if (sum != 0 && updatedAt.isBefore(now)) {
            sum *= Math.exp(-now.since(updatedAt).dividedBy(decayTime));
            updatedAt = now;
        }
        return sum;
    }

    /** Adds an amount of age 0; no decay is applied where the time is earlier than the last. */
    public void add(MonotonicTime now, double amount) {
        read(now);
        updatedAt = now;
        sum += amount;
    }

    /** Sets the sum to 0. */
    public void clear() {
        sum = 0;
    }

    /** The sum as a rate: the steady number a second that would have given this sum. */
    public double perSecond(MonotonicTime now) {
        return read(now) / decayTime.toSeconds();
    }
}
