package pearladder.emulator;

import java.util.function.Consumer;

/** A request that a worker holds, waiting or running; its handle for the caller. */
public final class PendingRequest {
    final WorkerRequest request;
    final Consumer<WorkerReply> replyTo;
    final int concurrentRequests;
    /** What is left to do, in nanoseconds on a core of speed 1. */
    double remainingWork;

    InstanceState instanceState;
    /** The instance that runs it; null while it waits. */
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

    /** The caller is gone: waiting work is dropped, running work stops where the kind of worker does that. */
    public void cancel() {
        if (!ended) {
            worker.cancel(this);
        }
    }
}
