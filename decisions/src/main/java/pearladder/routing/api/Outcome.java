package pearladder.routing.api;

/** How a leg, a probe or an order to load ended; some outcomes prove that the call never ran. */
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

    public final boolean neverExecuted;

    Outcome(boolean neverRan) {
        this.neverExecuted = neverRan;
    }
}
