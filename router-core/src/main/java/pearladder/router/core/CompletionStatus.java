package pearladder.router.core;

import java.util.Locale;

/** The kind of final answer to a request; each request that a router admits gets exactly one. */
public enum CompletionStatus {
    /** The client received a worker's response. */
    SUCCEEDED("settled"),
    /** The request was not executed; a retry is safe. */
    REJECTED("dismissed"),
    /** No worker responded; whether the request took effect is unknown. */
    FAILED("terminated");

    private final String code;

    CompletionStatus(String code) {
        this.code = code;
    }

    /** Returns the name of this status in metrics and in the event log; stable across versions. */
    public String code() {
        return code;
    }

    /** Returns the code in upper case, as the log files of all versions contain it. */
    @Override
    public String toString() {
        return code.toUpperCase(Locale.ROOT);
    }
}
