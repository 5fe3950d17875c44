package pearladder.connections;

import pearladder.routing.api.MonotonicTime;
import pearladder.routing.api.TimeSpan;

/**
 * Decides when a router that received a stop signal rejects new requests, fails those still open, and exits. It
 * exits as soon as no response is outstanding, and always before the platform kills the process.
 */
public final class GracefulShutdown {
    /** What the router does at a point in the shutdown. */
    public enum Step {
        /** Serve requests as before the signal. */
        SERVE,
        /** Reject new requests; continue to process open ones. */
        REJECT,
        /** Answer every open request with a failure. */
        FAIL_OPEN_REQUESTS,
        /** Exit the process. */
        EXIT
    }

    /**
     * Work that would be lost if the process exited now.
     *
     * @param openRequests number of requests without a response
     * @param unsentBytes bytes of responses that the operating system has not accepted yet
     * @param partialMessages number of clients from which an incomplete message was received
     */
    public record OutstandingWork(int openRequests, long unsentBytes, int partialMessages) {
        private boolean isEmpty() {
            return openRequests == 0 && unsentBytes == 0 && partialMessages == 0;
        }
    }

    /** Margin for the platform's timers, which are specified to be this accurate. */
    private static final TimeSpan SLACK = TimeSpan.millis(50);
    /** The platform continues to send requests for 0.6 s after the signal; the slack is added at both ends. */
    private static final TimeSpan SERVING_TIME = TimeSpan.millis(600).plus(SLACK.times(2));
    /** The platform kills the process after the longest deadline, capped at this value, plus the serving time. */
    private static final TimeSpan DEADLINE_CAP = TimeSpan.millis(3000);

    private final MonotonicTime signalledAt;
    private final MonotonicTime killedAt;
    /** Null before the first call. */
    private MonotonicTime lastCallAt;

    /**
     * Starts a shutdown.
     *
     * @param signalledAt when the stop signal was received
     * @param longestDeadline longest deadline of any request class
     */
    public GracefulShutdown(MonotonicTime signalledAt, TimeSpan longestDeadline) {
        this.signalledAt = signalledAt;
        this.killedAt = signalledAt.plus(longestDeadline.atMost(DEADLINE_CAP)).plus(SERVING_TIME);
    }

    /**
     * Returns what the router does now. To be called again within the slack, each time after available input was read.
     * A late call never returns {@link Step#EXIT}, because input that arrived in the meantime has not been read yet.
     *
     * @param lastReceivedAt when a client last connected or sent something; null if none did
     */
    public Step on(MonotonicTime now, MonotonicTime lastReceivedAt, OutstandingWork outstanding) {
        boolean isLate = lastCallAt != null && now.since(lastCallAt).isLongerThan(SLACK);
        lastCallAt = now;
        if (now.isBefore(signalledAt.plus(SERVING_TIME))) {
            return Step.SERVE;
        }
        boolean isQuiet = !isLate && (lastReceivedAt == null || !now.isBefore(lastReceivedAt.plus(SLACK)));
        boolean isOutOfTime = !now.isBefore(killedAt.minus(SLACK));
        if (isQuiet && outstanding.isEmpty() || isOutOfTime && !isLate) {
            return Step.EXIT;
        }
        return now.isBefore(killedAt.minus(SLACK.times(2))) ? Step.REJECT : Step.FAIL_OPEN_REQUESTS;
    }
}
