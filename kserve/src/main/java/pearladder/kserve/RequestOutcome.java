package pearladder.kserve;

/** The outcome of a request, sent to the client in the header {@link Headers#OUTCOME}. */
public enum RequestOutcome {
    /** A worker responded; the body is its response. */
    SETTLED("settled", 200),
    /** The request was not executed; a retry is safe. */
    DISMISSED("dismissed", 503),
    /** No worker responded; whether the request took effect is unknown. */
    TERMINATED("terminated", 502);

    /** The HTTP status for this outcome; a response of {@link #SETTLED} may have the worker's 4xx status instead. */
    public final int status;

    private final String code;

    RequestOutcome(String code, int status) {
        this.code = code;
        this.status = status;
    }

    /** Returns the header's value; part of the protocol. */
    public String code() {
        return code;
    }

    /** Returns the outcome for a code, or null if there is none. */
    public static RequestOutcome of(String code) {
        for (RequestOutcome outcome : values()) {
            if (outcome.code.equals(code)) {
                return outcome;
            }
        }
        return null;
    }
}
