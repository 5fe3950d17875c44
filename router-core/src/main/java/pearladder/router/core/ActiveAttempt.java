package pearladder.router.core;

import pearladder.routing.api.Action;
import pearladder.routing.api.MonotonicTime;
import pearladder.routing.api.Outcome;

/** One attempt to have a request executed by a worker. */
public final class ActiveAttempt {
    public final ActiveRequest request;
    /** The attempt's number within its request, from 0. */
    public final int number;

    public final String worker;
    final MonotonicTime sentAt;
    /** The time until which the worker is known to be in service; null if there is no such limit. */
    final MonotonicTime sendBefore;

    private final DeliveryGate gate;
    /** Null until the worker client has accepted the attempt. */
    WorkerClient.PendingSend pendingSend;

    boolean ended;
    /** Null until the attempt has ended. */
    MonotonicTime endedAt;
    /** Null until the attempt has ended. */
    Outcome outcome;

    ActiveAttempt(ActiveRequest request, Action.SendAttempt action, MonotonicTime sentAt, DeliveryGate gate) {
        this.request = request;
        this.number = request.attempts.size();
        this.worker = action.worker();
        this.sentAt = sentAt;
        this.sendBefore = action.sendBefore();
        this.gate = gate;
    }

    /** Records the end of the attempt; called once. */
    void onEnded(Outcome outcome, MonotonicTime now) {
        this.ended = true;
        this.outcome = outcome;
        this.endedAt = now;
    }

    /** Returns whether the attempt may still be written to its worker; called just before its first byte is written. */
    public boolean mayBeWritten() {
        return gate.mayWrite(this);
    }

    /** Returns whether the worker may have executed the request, or may still execute it. */
    boolean mayHaveBeenExecuted() {
        return !ended || !outcome.neverExecuted;
    }

    /** Stops waiting for the response; the worker continues the execution or cancels it. */
    void cancel() {
        if (isPending()) {
            pendingSend.cancel();
        }
    }

    /**
     * Ends the attempt if none of it has been sent yet. Guards against an attempt that is sent after its request
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
