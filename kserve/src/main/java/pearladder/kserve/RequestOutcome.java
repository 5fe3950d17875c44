package pearladder.kserve;

/** How a request was answered, as the header {@link Headers#STATE} tells the client. */
public enum RequestOutcome {
    /** The worker's response is in the body. */
    SETTLED("settled", 200),
    /** Not executed; a retry is harmless. */
    DISMISSED("dismissed", 503),
    /** No worker has responded; whether the request took effect is unknown. */
    TERMINATED("terminated", 502);

    /** The HTTP status that goes with it; a successful request may carry the worker's own 4xx instead. */
    public final int status;

    private final String code;

    RequestOutcome(String code, int status) {
        this.code = code;
        this.status = status;
    }

    /** The header's value; part of the protocol. */
    public String code() {
        return code;
    }

    /** The outcome of a code, or null where there is none. */
    public static RequestOutcome of(String code) {
        for (RequestOutcome outcome : values()) {
            if (outcome.code.equals(code)) {
                return outcome;
            }
        }
        return null;
    }
}
