package pearladder.router.core;

import java.util.Locale;

/** How a request was answered: each request that a router takes gets one final answer. */
public enum CompletionStatus {
    /** The client got a worker's response. */
    SUCCEEDED("settled"),
    /** Not executed; a retry is harmless. */
    REJECTED("dismissed"),
    /** Not answered by a worker; whether it took effect is unknown. */
    FAILED("terminated");

    private final String code;

    CompletionStatus(String code) {
        this.code = code;
    }

    /** The word for this status in metrics and in the event log; stable across versions. */
    public String code() {
        return code;
    }

    /** The code in capitals, as logs have always shown it. */
    @Override
    public String toString() {
        return code.toUpperCase(Locale.ROOT);
    }
}
