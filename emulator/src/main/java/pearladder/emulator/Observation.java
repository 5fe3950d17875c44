package pearladder.emulator;

/**
 * Something that was observed from outside a router. What does not apply is empty or 0.
 *
 * @param at nanoseconds of the machine's monotonic clock, the same for all processes of a run, or of the virtual clock
 * @param event the kind of event, one of the constants below; they are written to observation logs
 * @param router name of the router
 * @param requestId the client's id of the request
 * @param attempt number of the attempt
 * @param worker id of the worker
 * @param model name of the model
 * @param note text whose meaning depends on the kind of event
 * @param value number whose meaning depends on the kind of event
 */
public record Observation(
        long at,
        String event,
        String router,
        String requestId,
        int attempt,
        String worker,
        String model,
        String note,
        double value) {
    /** At a worker: an attempt reached it; the note is the idempotency key. */
    public static final String ARRIVED = "arrived";
    /** At a worker: an attempt began to run, so that its effect happens. */
    public static final String RAN = "ran";
    /** At a worker: an attempt was rejected and never ran; the note says why. */
    public static final String REJECTED = "refused";
    /** At a worker: a duplicate was replied to without running; the note is the idempotency key. */
    public static final String DUPLICATE_DROPPED = "dropped";
    /** At a worker: a load request; the value is the number of instances wanted. */
    public static final String LOAD_REQUESTED = "ordered";
    /**
     * At a worker: a load ended. The note is empty where the instance is ready, else it says why not; the value is the
     * share of the load's time that the fetch took.
     */
    public static final String LOAD_ENDED = "loaded";
    /** At a worker: instances were unloaded; the value is how many. */
    public static final String UNLOADED = "unloaded";
    /**
     * At a worker: it crashed from overload while cold; the value is the multiple of its capacity that it was
     * sent.
     */
    public static final String CRASHED_FROM_OVERLOAD = "fell";
    /** At the registry: a router was sent a worker's state, the note; the value is the worker's start in epoch ms. */
    public static final String ENDPOINT_SENT = "told";
    /** At a client: a try was sent; the note is its request class, the figure its timeout in nanoseconds. */
    public static final String SENT = "sent";
    /** At a client: a final answer; the note is its outcome. */
    public static final String ANSWERED = "answered";
    /** At a client: the try ended without a final answer; the note says how. */
    public static final String UNANSWERED = "unanswered";
    /** At a client: something came after the final answer. */
    public static final String ANSWERED_AGAIN = "again";
    /** At a client: its own process paused and saw late what came meanwhile; the value is the length of the pause. */
    public static final String CLIENT_PAUSED = "paused";
    /** By the scenario: a router was killed. */
    public static final String KILLED = "killed";
    /** By the scenario: a router was started. */
    public static final String STARTED = "started";
    /** By the scenario: a router or a worker was paused from here on; the value is for how long, in nanoseconds. */
    public static final String PROCESS_PAUSED = "still";
    /** By the scenario: a fault began; the note describes it. */
    public static final String FAULT_INJECTED = "trouble";

    /** An observation of one attempt at a worker. */
    static Observation ofAttempt(long at, String what, WorkerRequest request, String worker, String note) {
        return new Observation(
                at, what, request.router(), request.requestId(), request.attempt(), worker, request.model(), note, 0);
    }
}
