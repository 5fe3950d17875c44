package pearladder.router.core;

import pearladder.routing.api.Event;
import pearladder.routing.api.Outcome;

/** What an engine's whole answer says to the module. */
public interface WorkerResponse {
    Outcome outcome();

    /** How the call met its copy. */
    Event.InstanceStatus instanceStatus();

    /** Calls of the same function that the engine held; -1 where it is not told. */
    int concurrentRequests();

    /** Its load report, or null. */
    Event.WorkerLoadReport loadReport();
}
