package pearladder.router.core;

import pearladder.routing.api.Event;
import pearladder.routing.api.Outcome;

/** The parts of a worker's complete response that the routing policy uses. */
public interface WorkerResponse {
    /** Returns the outcome of the attempt. */
    Outcome outcome();

    /** Returns the status of the instance that the request found on the worker. */
    Event.InstanceStatus instanceStatus();

    /** Returns the number of requests for the same function that the worker had in flight; -1 if not reported. */
    int concurrentRequests();

    /** Returns the worker's load report, or null. */
    Event.WorkerLoadReport loadReport();
}
