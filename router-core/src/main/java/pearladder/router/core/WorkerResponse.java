package pearladder.router.core;

import pearladder.routing.api.Event;
import pearladder.routing.api.Outcome;

/** What a worker's complete response tells the routing policy. */
public interface WorkerResponse {
    /** How the attempt ended. */
    Outcome outcome();

    /** Whether the request found an instance loaded. */
    Event.InstanceStatus instanceStatus();

    /** Requests for the same function that the worker had in flight; -1 where it does not say. */
    int concurrentRequests();

    /** The worker's load report, or null. */
    Event.WorkerLoadReport loadReport();
}
