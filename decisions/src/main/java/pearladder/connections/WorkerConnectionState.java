package pearladder.connections;

import pearladder.routing.api.MonotonicTime;

/** A connection to a worker, as what passes on it shows it. */
public final class WorkerConnectionState {
    public final String worker;
    /** It stands; before that it is being opened. */
    public boolean up;
    /** What is out on it and unanswered. */
    public int out;
    /** Something ran out in silence on it, and nothing was heard since. */
    public boolean doubted;
    /** When it was last written to or heard. */
    public MonotonicTime used;

    public WorkerConnectionState(String worker, MonotonicTime opened) {
        this.worker = worker;
        this.used = opened;
    }
}
