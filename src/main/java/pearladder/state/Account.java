package pearladder.state;

import pearladder.api.Facts;
import pearladder.api.Moment;

/** Who shares the fleet, and how much of its share is unused here. */
public final class Account {
    public final Facts.Account terms;
    public double credit;
    public Moment creditAt;

    public Account(Facts.Account terms) {
        this.terms = terms;
    }
}
