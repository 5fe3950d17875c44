package pearladder.state;

import java.util.ArrayList;
import java.util.List;
import pearladder.api.Facts.Terms;
import pearladder.api.Moment;
import pearladder.api.Span;

/** A call this router has taken and, until over, owes one final answer. */
public final class Call {
    public final String id;
    public final Function function;
    public final Terms terms;
    public final Moment taken;
    public final Moment givenUpAt;
    public final Span hint;
    public final List<Leg> legs = new ArrayList<>(2);
    public boolean over;
    public boolean streaming;
    public int legsOut;

    public Call(String id, Function function, Terms terms, Moment taken, Moment givenUpAt, Span hint) {
        this.id = id;
        this.function = function;
        this.terms = terms;
        this.taken = taken;
        this.givenUpAt = givenUpAt;
        this.hint = hint;
    }
}
