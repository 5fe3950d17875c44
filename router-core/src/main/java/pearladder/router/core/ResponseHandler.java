package pearladder.router.core;

import pearladder.routing.api.TimeSpan;

/** Gives a client the final answer to its request. Of the first three methods, one is called, once. */
public interface ResponseHandler {
    /** A worker has executed the request. */
    void onSuccess(WorkerResponse response);

    /** The request was not executed, and the client may retry it. */
    void onRejected(TimeSpan retryAfter);

    /** No worker has answered; whether the request took effect is unknown. */
    void onFailure();

    /**
     * The request is answered or its client has disconnected, and no attempt is under way: its buffers may be reused.
     */
    default void onReleased() {}
}
