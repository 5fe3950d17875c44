package pearladder.state;

import pearladder.api.Moment;
import pearladder.api.Span;

/** A sum whose parts fade with age; brought up to date when read or added to. */
public final class Decaying {
    private final Span fade;
    private double sum;
    private Moment at;

    public Decaying(Span fade) {
        this.fade = fade;
    }

    public double read(Moment now) {
        if (at == null) {
            return 0;
        }
        if (sum != 0 && at.before(now)) {
            sum *= Math.exp(-now.since(at).over(fade));
            at = now;
        }
        return sum;
    }

    public void add(Moment now, double amount) {
        read(now);
        at = now;
        sum += amount;
    }

    public void clear() {
        sum = 0;
    }

    /** The sum as a rate: what a steady flow of that many a second would have left here. */
    public double perSecond(Moment now) {
        return read(now) / fade.inSeconds();
    }
}
