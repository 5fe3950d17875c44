package pearladder.routing.state;

import pearladder.routing.api.MonotonicTime;

/** The ledger's entry for one function on one worker. */
public final class Placement {
    public final Function function;
    public final Worker worker;
    public int inFlight;
    public int instances;
    public boolean loading;
    public MonotonicTime renewedAt;
    public MonotonicTime sentAt;
    public MonotonicTime overloadedUntil;
    public MonotonicTime loadRequestedAt;

    public Placement(Function function, Worker worker) {
        this.function = function;
        this.worker = worker;
    }
}
