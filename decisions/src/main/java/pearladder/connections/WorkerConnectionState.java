package pearladder.connections;

import pearladder.routing.api.MonotonicTime;

/**
 * State of one worker connection that {@link ConnectionManager} decides by. The owner of the socket keeps the fields up
 * to date, on the event loop; the manager only reads them. Instances are compared by identity.
 */
public final class WorkerConnectionState {
    /** Identifier of the worker at the other end. */
    public final String worker;
    /** Whether the connection is established; false while it is being opened. */
    public boolean established;
    /** Number of commands sent or queued on the connection that have no response yet. */
    public int inFlight;
    /** Whether a command timed out on the connection and nothing has been received since. */
    public boolean suspect;
    /** Whether the worker has restarted since, or has another address now; the connection gets no further command. */
    public boolean retired;
    /** Time of the last write or receipt on the connection; before the first one, the time of its opening. */
    public MonotonicTime lastUsedAt;

    /** Creates the state of a connection to the worker whose opening started at the given time. */
    public WorkerConnectionState(String worker, MonotonicTime openedAt) {
        this.worker = worker;
        this.lastUsedAt = openedAt;
    }
}
