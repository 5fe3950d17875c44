package pearladder.emulator;

import pearladder.kserve.LoadReport;

/**
 * A worker's reply to a request or a load request.
 *
 * @param outcome outcome of the request
 * @param instanceState state of the instance when the request arrived; null if no instance was looked up
 * @param concurrentRequests requests for the same model that the worker held when the request arrived
 * @param readyInstances for load requests: instances of the model that are ready
 * @param report the worker's load report
 */
public record WorkerReply(
        WorkerOutcome outcome,
        InstanceState instanceState,
        int concurrentRequests,
        int readyInstances,
        LoadReport report) {
    /** Creates a reply without information on instances. */
    public static WorkerReply of(WorkerOutcome outcome, LoadReport report) {
        return new WorkerReply(outcome, null, 0, 0, report);
    }

    /** Creates a reply to a load request. */
    public static WorkerReply ofLoad(WorkerOutcome outcome, int readyInstances, LoadReport report) {
        return new WorkerReply(outcome, null, 0, readyInstances, report);
    }
}
