package pearladder.router.core;

import pearladder.routing.api.TimeSpan;

/** Where the one final answer of a call goes. Each call gets one of the three, or none where its client left. */
public interface ResponseHandler {
    void succeeded(WorkerResponse said);

    void rejected(TimeSpan retryAfter);

    void failed();

    /** Nothing of the call is out any more, and nothing more will be told of it. */
    default void released() {}
}
