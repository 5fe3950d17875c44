package pearladder.emulator;

import java.util.function.Consumer;

/** A queued or running request of a worker; the caller can cancel it. */
public final class PendingRequest {
    final WorkerRequest request;
    final Consumer<WorkerReply> replyTo;
    final int concurrentRequests;
    /** Remaining work in nanoseconds on a core of speed 1. */
    double remainingWork;

    InstanceState instanceState;
    /** The instance that runs the request; null while the request is queued. */
    ModelInstance instance;

    boolean ended;
    private final WorkerModel worker;

    PendingRequest(
            WorkerModel worker,
            WorkerRequest request,
            int concurrentRequests,
            double work,
            Consumer<WorkerReply> replyTo) {
        this.worker = worker;
        this.request = request;
        this.concurrentRequests = concurrentRequests;
        this.remainingWork = work;
        this.replyTo = replyTo;
    }

    /** Removes a queued request; stops a running one if {@link WorkerKind#stopsOnCancel} is set. */
    public void cancel() {
        if (!ended) {
            worker.cancel(this);
        }
    }
}
