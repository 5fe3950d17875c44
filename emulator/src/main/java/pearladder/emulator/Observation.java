package pearladder.emulator;

/**
 * An event observed outside a router. Components that do not apply are empty or 0.
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
    /** At a worker: a duplicate was replied to without being run; the note is the idempotency key. */
    public static final String DUPLICATE_DROPPED = "dropped";
    /** At a worker: a load request; the value is the number of instances wanted. */
    public static final String LOAD_REQUESTED = "ordered";
    /**
     * At a worker: a load ended. The note is empty if it succeeded, otherwise it gives the reason of the failure; the
     * value is the share of the load's duration that the fetch took.
     */
    public static final String LOAD_ENDED = "loaded";
    /** At a worker: instances were unloaded; the value is how many. */
    public static final String UNLOADED = "unloaded";
    /**
     * At a worker: it crashed from overload while cold; the value is the work it received as a multiple of its
     * capacity.
     */
    public static final String CRASHED_FROM_OVERLOAD = "fell";
    /** At the registry: a router was sent a worker's state, the note; the value is the worker's start in epoch ms. */
    public static final String ENDPOINT_SENT = "told";
    /** At a client: an attempt was sent; the note is its request class, the value its timeout in nanoseconds. */
    public static final String SENT = "sent";
    /** At a client: a final response arrived; the note is its outcome. */
    public static final String ANSWERED = "answered";
    /** At a client: the attempt ended without a final response; the note says how. */
    public static final String UNANSWERED = "unanswered";
    /** At a client: another response arrived after the final one. */
    public static final String ANSWERED_AGAIN = "again";
    /** At a client: its process paused and handled responses late; the value is the duration of the pause. */
    public static final String CLIENT_PAUSED = "paused";
    /** By the scenario: a router was killed. */
    public static final String KILLED = "killed";
    /** By the scenario: a router was started. */
    public static final String STARTED = "started";
    /** By the scenario: a router or a worker was paused; the value is the duration of the pause in nanoseconds. */
    public static final String PROCESS_PAUSED = "still";
    /** By the scenario: a fault began; the note describes it. */
    public static final String FAULT_INJECTED = "trouble";

    /** Creates an observation of an attempt at a worker. */
    static Observation ofAttempt(long at, String event, WorkerRequest request, String worker, String note) {
        return new Observation(
                at, event, request.router(), request.requestId(), request.attempt(), worker, request.model(), note, 0);
    }
}
