package pearladder.router.core;

import pearladder.routing.api.MonotonicTime;
import pearladder.routing.api.Outcome;

/** One attempt to have a request executed by a worker. */
public final class ActiveAttempt {
    public final ActiveRequest request;
    /** Counts the attempts of a request, from 0. */
    public final int number;

    public final String worker;
    final MonotonicTime sentAt;
    /** Null until the worker client has taken the attempt. */
    WorkerClient.PendingSend pendingSend;

    boolean ended;
    /** Null until the attempt has ended. */
    MonotonicTime endedAt;
    /** Null until the attempt has ended. */
    Outcome outcome;

    ActiveAttempt(ActiveRequest request, int number, String worker, MonotonicTime sentAt) {
        this.request = request;
        this.number = number;
        this.worker = worker;
        this.sentAt = sentAt;
    }

    /** The attempt has ended; it does so once. */
    void onEnded(Outcome outcome, MonotonicTime now) {
        this.ended = true;
        this.outcome = outcome;
        this.endedAt = now;
    }

    /** Stops waiting for the response; what the worker executes goes on or is cancelled there. */
    void cancel() {
        if (isPending()) {
            pendingSend.cancel();
        }
    }

    /**
     * Ends the attempt if nothing of it has been sent yet. Guards against an attempt that leaves after its request
     * was completed because its connection was established late.
     */
    void cancelUnsent() {
        if (isPending()) {
            pendingSend.cancelUnsent();
        }
    }

    private boolean isPending() {
        return !ended && pendingSend != null;
    }
}
