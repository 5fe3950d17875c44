package pearladder.routing.state;

import pearladder.routing.api.MonotonicTime;
import pearladder.routing.api.Outcome;

/** One sending of a call to a worker; the outcome is null while it is out. */
public final class Attempt {
    public final Request request;
    public final int number;
    public final Placement placement;
    public final MonotonicTime sentAt;
    public final boolean assumedWarm;
    public Outcome outcome;
    public boolean cancelled;

    public Attempt(Request call, int number, Placement place, MonotonicTime sent, boolean copyBelieved) {
        this.request = call;
        this.number = number;
        this.placement = place;
        this.sentAt = sent;
        this.assumedWarm = copyBelieved;
    }

    /** Whether nothing proves that it never ran. */
    public boolean mayHaveExecuted() {
        return outcome == null || !outcome.neverExecuted;
    }
}
