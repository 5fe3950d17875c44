package pearladder.router.core;

import pearladder.routing.api.MonotonicTime;

/** One sending of a call to an engine. */
public final class ActiveAttempt {
    public final ActiveRequest request;
    public final int number;
    public final String worker;
    final MonotonicTime sentAt;
    WorkerClient.PendingSend pendingSend;
    boolean ended;

    ActiveAttempt(ActiveRequest call, int number, String engine, MonotonicTime sent) {
        this.request = call;
        this.number = number;
        this.worker = engine;
        this.sentAt = sent;
    }
}
