package pearladder.emulator;

import pearladder.kserve.LoadReport;

/**
 * A worker's reply to a request or a load request.
 *
 * @param outcome how it ended
 * @param instanceState in which state the request found its instance; null where it was not looked for
 * @param concurrentRequests requests for the same model that the worker held when this one arrived
 * @param readyInstances for load requests: instances of the model that are ready
 * @param report the worker's load report
 */
public record WorkerReply(
        WorkerOutcome outcome,
        InstanceState instanceState,
        int concurrentRequests,
        int readyInstances,
        LoadReport report) {
    /** A reply that says nothing of instances. */
    public static WorkerReply of(WorkerOutcome outcome, LoadReport report) {
        return new WorkerReply(outcome, null, 0, 0, report);
    }

    /** A reply to a load request. */
    public static WorkerReply ofLoad(WorkerOutcome outcome, int readyInstances, LoadReport report) {
        return new WorkerReply(outcome, null, 0, readyInstances, report);
    }
}
