package pearladder.routing.state;

import pearladder.routing.api.MonotonicTime;
import pearladder.routing.api.TimeSpan;

/** A sum whose parts fade with age; brought up to date when read or added to. */
public final class DecayingSum {
    private final TimeSpan decayTime;
    private double sum;
    private MonotonicTime at;

    public DecayingSum(TimeSpan fade) {
        this.decayTime = fade;
    }

    public double read(MonotonicTime now) {
        if (at == null) {
            return 0;
        }
        if (sum != 0 && at.isBefore(now)) {
            sum *= Math.exp(-now.since(at).dividedBy(decayTime));
            at = now;
        }
        return sum;
    }

    public void add(MonotonicTime now, double amount) {
        read(now);
        at = now;
        sum += amount;
    }

    public void clear() {
        sum = 0;
    }

    /** The sum as a rate: what a steady flow of that many a second would have left here. */
    public double perSecond(MonotonicTime now) {
        return read(now) / decayTime.toSeconds();
    }
}
