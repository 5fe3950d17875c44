package pearladder.state;

import pearladder.api.Span;

/** Who shares the fleet, and what they have sent here of late. */
public final class Account {
    public final pearladder.api.Facts.Account terms;
    public final Decaying calls;

    public Account(pearladder.api.Facts.Account terms, Span fade) {
        this.terms = terms;
        this.calls = new Decaying(fade);
    }
}
