package pearladder.emulator;

/** Outcome of a request or a load request at a worker. The names appear in observation logs. */
public enum WorkerOutcome {
    /** The request succeeded. */
    OK,
    /** The model or the load failed. */
    ERROR,
    /** Rejected before it ran: the queue or memory is full, or the worker is draining. */
    FULL,
    /** Rejected before it ran: the worker does not know the model or could not load it. */
    ABSENT
}
