package pearladder.router.core;

import java.util.StringJoiner;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import pearladder.routing.api.MonotonicTime;
import pearladder.routing.api.TimeSpan;

/**
 * Logs the ends of requests with the clients' request ids: always for requests that ended after their deadline, for
 * others only if {@code -Dpearladder.trace=requests} is set.
 */
final class RequestLog {
    private static final Logger LOG = LoggerFactory.getLogger(RequestLog.class);
    private static final Logger TRACE = LoggerFactory.getLogger("pearladder.trace.requests");
    /** An end that exceeds the deadline by less than this is not logged; platforms allow timers the same lateness. */
    private static final TimeSpan DEADLINE_TOLERANCE = TimeSpan.millis(50);

    private RequestLog() {}

    /** Logs a request that was answered or whose client has disconnected. */
    static void onEnded(ActiveRequest request, String ending, MonotonicTime now) {
        if (now.isBefore(request.deadlineAt.plus(DEADLINE_TOLERANCE))) {
            if (TRACE.isTraceEnabled()) {
                TRACE.trace("{}", describe(request, ending, now));
            }
        } else {
            LOG.warn(
                    "request ended {} ms after its deadline: {}",
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

    private static long millis(ActiveRequest request, MonotonicTime time) {
        return time.since(request.admittedAt).toMillis();
    }
}
