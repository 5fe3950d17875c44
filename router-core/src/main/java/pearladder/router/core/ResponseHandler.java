package pearladder.router.core;

import pearladder.routing.api.TimeSpan;

/** Sends the final answer of a request to its client. Exactly one of the first three methods is called, once. */
public interface ResponseHandler {
    /** Called when a worker has executed the request. */
    void onSuccess(WorkerResponse response);

    /** Called when the request was not executed and the client may retry it. */
    void onRejected(TimeSpan retryAfter);

    /** Called when no worker has responded; whether the request took effect is unknown. */
    void onFailure();

    /**
     * Called when the request was answered or its client has disconnected, and no attempt is in flight: its buffers
     * may be reused.
     *
     * @param possiblyExecuted whether a worker may have executed it
     */
    default void onReleased(boolean possiblyExecuted) {}
}
