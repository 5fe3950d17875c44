package pearladder.routing.state;

import java.util.ArrayList;
import java.util.List;
import pearladder.routing.api.MonotonicTime;
import pearladder.routing.api.RoutingSettings.RequestClass;
import pearladder.routing.api.TimeSpan;

/** A request that this router admitted; until it is completed, the router has to give one final answer. */
public final class Request {
    public final String id;
    public final Function function;
    public final RequestClass requestClass;
    public final MonotonicTime admittedAt;
    public final MonotonicTime deadlineAt;
    public final TimeSpan workEstimate;
    public final List<Attempt> attempts = new ArrayList<>(2);
    public boolean completed;
    public boolean streaming;
    public int attemptsInFlight;
    /** The number of times that it has waited for a worker to prove that it is ready. */
    public int readinessWaits;

    /** @param workEstimate the client's estimate of the processing time, or null */
    public Request(
            String id,
            Function function,
            RequestClass requestClass,
            MonotonicTime admittedAt,
            MonotonicTime deadlineAt,
            TimeSpan workEstimate) {
        this.id = id;
        this.function = function;
        this.requestClass = requestClass;
        this.admittedAt = admittedAt;
        this.deadlineAt = deadlineAt;
        this.workEstimate = workEstimate;
    }

    /** Returns the first attempt that a worker may have executed, or null if there is none. */
    public Attempt firstPossiblyExecuted() {
        for (Attempt attempt : attempts) {
            if (attempt.mayHaveExecuted()) {
                return attempt;
            }
        }
        return null;
    }
}
