package pearladder.state;

import pearladder.api.Moment;

/** The ledger's entry for one function on one worker. */
public final class Place {
    public final Function function;
    public final Worker worker;
    public int inFlight;
    public int instances;
    public boolean loading;
    public Moment touched;
    public Moment sentAt;
    public Moment refusedUntil;
    public Moment orderedAt;

    public Place(Function function, Worker worker) {
        this.function = function;
        this.worker = worker;
    }
}
