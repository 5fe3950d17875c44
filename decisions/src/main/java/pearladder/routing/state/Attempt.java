package pearladder.routing.state;

import pearladder.routing.api.MonotonicTime;
import pearladder.routing.api.Outcome;

/** One sending of a request to a worker; the outcome is null while it is in flight. */
public final class Attempt {
    public final Request request;
    public final int number;
    public final Placement placement;
    public final MonotonicTime sentAt;
    /** Whether an instance was assumed to be loaded there. */
    public final boolean assumedWarm;

    public Outcome outcome;
    public boolean cancelled;

    /** The request's next attempt. */
    public Attempt(Request request, Placement placement, MonotonicTime sentAt, boolean assumedWarm) {
        this.request = request;
        this.number = request.attempts.size();
        this.placement = placement;
        this.sentAt = sentAt;
        this.assumedWarm = assumedWarm;
    }

    /** Whether the worker hasn't responded to anything since this was sent. */
    public boolean isWorkerSilentSince() {
        MonotonicTime lastHeardAt = placement.worker.lastHeardAt;
        return lastHeardAt == null || lastHeardAt.isBefore(sentAt);
    }

    /** Whether nothing proves that the worker never executed it. */
    public boolean mayHaveExecuted() {
        return outcome == null || !outcome.neverExecuted;
    }
}
