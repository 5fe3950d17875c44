package pearladder.routing.state;

import pearladder.routing.api.MonotonicTime;
import pearladder.routing.api.Outcome;

/** An attempt to have a worker execute a request; the outcome is null while it is in flight. */
public final class Attempt {
    public final Request request;
    public final int number;
    public final Placement placement;
    public final MonotonicTime sentAt;
    /** Whether an instance was assumed to be loaded at the placement. */
    public final boolean assumedWarm;

    public Outcome outcome;
    public boolean cancelled;

    /** Creates the request's next attempt, which the caller has to add to the request. */
    public Attempt(Request request, Placement placement, MonotonicTime sentAt, boolean assumedWarm) {
        this.request = request;
        this.number = request.attempts.size();
        this.placement = placement;
        this.sentAt = sentAt;
        this.assumedWarm = assumedWarm;
    }

    /** Returns whether the worker hasn't responded to anything since this attempt was sent. */
    public boolean isWorkerSilentSince() {
        MonotonicTime lastResponseAt = placement.worker.lastResponseAt;
        return lastResponseAt == null || lastResponseAt.isBefore(sentAt);
    }

    /** Returns whether the worker may have executed the attempt, as its outcome doesn't prove the contrary. */
    public boolean mayHaveExecuted() {
        return outcome == null || !outcome.neverExecuted;
    }
}
