package pearladder.routing.state;

import java.util.ArrayList;
import java.util.List;
import pearladder.routing.api.MonotonicTime;
import pearladder.routing.api.RoutingSettings.RequestClass;
import pearladder.routing.api.TimeSpan;

/** A call this router has taken and, until over, owes one final answer. */
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

    public Request(
            String id,
            Function function,
            RequestClass terms,
            MonotonicTime taken,
            MonotonicTime givenUpAt,
            TimeSpan hint) {
        this.id = id;
        this.function = function;
        this.requestClass = terms;
        this.admittedAt = taken;
        this.deadlineAt = givenUpAt;
        this.workEstimate = hint;
    }
}
