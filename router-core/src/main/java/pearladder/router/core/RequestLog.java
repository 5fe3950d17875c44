package pearladder.router.core;

import java.util.StringJoiner;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import pearladder.routing.api.MonotonicTime;
import pearladder.routing.api.TimeSpan;

/**
 * Logs how requests ended, by the clients' ids: those that ended after their deadline always, all others only where
 * {@code -Dpearladder.trace=requests} is set.
 */
final class RequestLog {
    private static final Logger LOG = LoggerFactory.getLogger(RequestLog.class);
    private static final Logger TRACE = LoggerFactory.getLogger("pearladder.trace.requests");
    /** A timer may be late by this much without a word; platforms allow a router the same. */
    private static final TimeSpan SLACK = TimeSpan.millis(50);

    private RequestLog() {}

    /** A request has its final answer, or its client has gone. */
    static void onEnded(ActiveRequest request, String ending, MonotonicTime now) {
        if (now.isBefore(request.deadlineAt.plus(SLACK))) {
            if (TRACE.isTraceEnabled()) {
                TRACE.trace("{}", describe(request, ending, now));
            }
        } else {
            LOG.warn(
                    "{} ms after its deadline: {}",
                    now.since(request.deadlineAt).toMillis(),
                    describe(request, ending, now));
        }
    }

    private static String describe(ActiveRequest request, String ending, MonotonicTime now) {
        StringJoiner text = new StringJoiner("; ");
        text.add("request " + request.clientRequestId + " " + ending + " after " + millis(request, now) + " ms of "
                + request.deadlineAt.since(request.admittedAt).toMillis());
        for (ActiveAttempt attempt : request.attempts) {
            text.add("attempt " + attempt.number + " to " + attempt.worker + " sent at "
                    + millis(request, attempt.sentAt)
                    + (attempt.ended ? " " + attempt.outcome + " at " + millis(request, attempt.endedAt) : " open"));
        }
        return text.toString();
    }

    private static long millis(ActiveRequest request, MonotonicTime moment) {
        return moment.since(request.admittedAt).toMillis();
    }
}
