package pearladder.routing.api;

/** How an attempt, a probe or a load request ended. */
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

    /** Whether it proves that the worker never executed the request. */
    public final boolean neverExecuted;

    Outcome(boolean neverExecuted) {
        this.neverExecuted = neverExecuted;
    }
}
