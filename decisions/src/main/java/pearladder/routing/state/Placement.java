package pearladder.routing.state;

import pearladder.routing.api.MonotonicTime;

/** The state of one function on one worker, as far as this router knows it. */
public final class Placement {
    public final Function function;
    public final Worker worker;
    /** Attempts in flight. */
    public int inFlight;

    /** Instances assumed to be loaded at {@link #renewedAt}. */
    public int instances;

    /** Whether an attempt or a load request of this router is loading an instance. */
    public boolean loading;

    /** When a request or load last renewed the instances; null if none did. */
    public MonotonicTime renewedAt;

    /** When an attempt was last sent; null if none was. */
    public MonotonicTime sentAt;

    /** Until when the worker is skipped for this function, as it refused as overloaded. */
    public MonotonicTime overloadedUntil;

    /** When a load request was last sent; null if none was. */
    public MonotonicTime loadRequestedAt;

    /** Creates a placement without instances. */
    public Placement(Function function, Worker worker) {
        this.function = function;
        this.worker = worker;
    }
}
