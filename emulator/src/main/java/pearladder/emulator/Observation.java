package pearladder.emulator;

/**
 * One thing seen from outside a router, as a line of a tape; what does not apply is empty or 0.
 *
 * @param at nanoseconds of the machine's monotonic clock, the same for all processes of a run
 * @param what see the constants
 * @param figure what the kind of line says: copies ordered, a status, a span in nanoseconds
 */
public record Observation(
        long at,
        String what,
        String router,
        String call,
        int leg,
        String engine,
        String model,
        String note,
        double figure) {
    /** At an engine: a leg reached it; note is the mark against repeats. */
    public static final String ARRIVED = "arrived";
    /** At an engine: a leg began to run (the effect happens). */
    public static final String RAN = "ran";
    /** At an engine: a leg was refused unseen, so it never ran. */
    public static final String REFUSED = "refused";
    /** At an engine: a repeat was dropped and answered from what is remembered. */
    public static final String DROPPED = "dropped";
    /** At an engine: an order to load; figure is the copies wanted. */
    public static final String ORDERED = "ordered";
    /**
     * At an engine: a load ended; note is empty where the copy stands, else why it does not; figure is the share
     * of its time that was the fetch's.
     */
    public static final String LOADED = "loaded";
    /** At an engine: copies went, by themselves or for room; figure is how many. */
    public static final String UNLOADED = "unloaded";
    /** At an engine: it fell over for being pushed while cold; figure is the multiple of what it bears. */
    public static final String FELL = "fell";
    /** At the list: a router was told an engine's standing, which is the note; figure is its start, in nanoseconds. */
    public static final String TOLD = "told";
    /** At a client: a try went out; note is its category, figure its patience in nanoseconds. */
    public static final String SENT = "sent";
    /** At a client: a final answer; note is its state. */
    public static final String ANSWERED = "answered";
    /** At a client: the try ended without a final answer; note says how. */
    public static final String UNANSWERED = "unanswered";
    /** At a client: something came after the final answer. */
    public static final String AGAIN = "again";
    /** At a client: its own process paused, so that it saw what came meanwhile late; figure is for how long. */
    public static final String PAUSED = "paused";
    /** By the day: a router was killed, or started. */
    public static final String KILLED = "killed";

    public static final String STARTED = "started";
    /** By the day: a router, or an engine, stood still from here on; figure is for how long, in nanoseconds. */
    public static final String STILL = "still";
    /** By the day: a trouble began; figure is its span in nanoseconds. */
    public static final String TROUBLE = "trouble";

    /** An observation of one attempt at a worker. */
    static Observation ofAttempt(long at, String what, WorkerRequest request, String worker, String note) {
        return new Observation(
                at, what, request.router(), request.requestId(), request.attempt(), worker, request.model(), note, 0);
    }
}
