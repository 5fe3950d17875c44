package pearladder.routing.api;

/** The result of an attempt, a health check or a load request. */
public enum Outcome {
    SUCCESS(false),
    ERROR(false),
    FULL(true),
    TIMED_OUT(false),
    UNREACHABLE(true),
    BROKEN(false),
    WITHDRAWN(false),
    VOID(true),
    ABSENT(true);

    /** Whether the outcome proves that the worker never executed the request. */
    public final boolean neverExecuted;

    Outcome(boolean neverExecuted) {
        this.neverExecuted = neverExecuted;
    }
}
