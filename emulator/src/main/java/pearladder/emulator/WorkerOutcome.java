package pearladder.emulator;

/** How a worker ends a request or a load request. The names appear in observation logs. */
public enum WorkerOutcome {
    /** Done. */
    OK,
    /** The model failed, or the load did. */
    ERROR,
    /** Rejected before it ran: no queue slot, no memory, or the worker drains. */
    FULL,
    /** Rejected before it ran: the model is unknown here or could not be loaded. */
    ABSENT
}
