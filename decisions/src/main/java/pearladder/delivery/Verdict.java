package pearladder.delivery;

/** Result of a delivery rule: allowed, or the reason for the refusal. */
public enum Verdict {
    ALLOWED("allowed"),
    REQUEST_COMPLETED("the request is already answered or its client has disconnected"),
    DEADLINE_PASSED("the deadline has passed"),
    MAY_HAVE_BEEN_EXECUTED("an earlier attempt may have been executed and must not be repeated"),
    TOO_MANY_ATTEMPTS("the maximum number of attempts has been reached"),
    WORKER_NOT_IN_SERVICE("the worker is not in service"),
    WORKER_NOT_CONFIRMED("the worker has not been confirmed to be in service recently enough"),
    UNANSWERED_REQUESTS("there are unanswered requests");

    private final String reason;

    Verdict(String reason) {
        this.reason = reason;
    }

    /** Returns whether the action is allowed. */
    public boolean isAllowed() {
        return this == ALLOWED;
    }

    /** Returns the reason for the refusal, as a clause for a log line. */
    public String reason() {
        return reason;
    }
}
