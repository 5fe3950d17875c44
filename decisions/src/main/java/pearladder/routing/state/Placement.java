package pearladder.routing.state;

import pearladder.routing.api.MonotonicTime;

/** What is known of one function on one worker. */
public final class Placement {
    public final Function function;
    public final Worker worker;
    /** Attempts in flight. */
    public int inFlight;

    /** Instances assumed to be loaded when that was last renewed. */
    public int instances;

    /** Whether an attempt or a load request of this router is loading an instance. */
    public boolean loading;

    /** When something last showed that the instances are loaded; null where nothing did. */
    public MonotonicTime renewedAt;

    /** When an attempt was last sent. */
    public MonotonicTime sentAt;

    /** The worker refused as overloaded and is skipped for this function until then. */
    public MonotonicTime overloadedUntil;

    /** When an instance was last asked for. */
    public MonotonicTime loadRequestedAt;

    /** A placement without instances. */
    public Placement(Function function, Worker worker) {
        this.function = function;
        this.worker = worker;
    }
}
