package pearladder.state;

import pearladder.api.Moment;
import pearladder.api.Outcome;

/** One sending of a call to a worker; the outcome is null while it is out. */
public final class Leg {
    public final Call call;
    public final int number;
    public final Place place;
    public final Moment sent;
    public final boolean copyBelieved;
    public Outcome outcome;
    public boolean withdrawn;

    public Leg(Call call, int number, Place place, Moment sent, boolean copyBelieved) {
        this.call = call;
        this.number = number;
        this.place = place;
        this.sent = sent;
        this.copyBelieved = copyBelieved;
    }

    /** Whether nothing proves that it never ran. */
    public boolean mayHaveRun() {
        return outcome == null || !outcome.neverRan;
    }
}
