package pearladder.routing.api;

import java.util.List;
import pearladder.routing.state.PolicySnapshot;

/** An event that the policy handles. Ids are the caller's; events with an unknown id are ignored. */
public sealed interface Event {
    /** The state of a worker in the endpoint list. */
    enum EndpointState {
        IN_SERVICE,
        DRAINING,
        GONE
    }

    /** The content of an update: changes, all workers, all workers as of an earlier time, or none on a failure. */
    enum EndpointUpdateKind {
        DELTA,
        SNAPSHOT,
        CACHED,
        FAILED
    }

    /** A worker in the endpoint list; {@code startedAt} is null if its process has run for long. */
    record Endpoint(
            String worker,
            String zone,
            String kind,
            long cell,
            EndpointState state,
            double weight,
            MonotonicTime startedAt) {}

    /** The endpoint list was read, or reading it failed. */
    record EndpointsUpdated(EndpointUpdateKind kind, List<Endpoint> endpoints) implements Event {}

    /** Discovery has confirmed that the endpoint list contains all changes up to the given time. */
    record EndpointListConfirmed(MonotonicTime asOf) implements Event {}

    /**
     * The endpoint list may lack changes until it is confirmed. Routers that report confirmations report this event at
     * their start; for other routers the list always counts as complete.
     */
    record EndpointListUnconfirmed() implements Event {}

    /**
     * A request has arrived; {@code typicalLoadTime} and {@code workEstimate} are null if not stated, {@code tenant} is
     * null if there are no tenants.
     */
    record RequestArrived(
            String requestId,
            String function,
            String requestClass,
            String tenant,
            TimeSpan timeLeft,
            int concurrency,
            double memoryMb,
            TimeSpan typicalLoadTime,
            TimeSpan workEstimate,
            boolean clientRetry,
            boolean write)
            implements Event {}

    /** The first part of a streamed response has been forwarded to the client. */
    record StreamStarted(String requestId, int attempt, String worker, TimeSpan elapsed) implements Event {}

    /** The state of the instance when the request reached it, as reported in the response. */
    enum InstanceStatus {
        UNTOLD,
        STOOD,
        LOAD_BEGUN,
        LOAD_JOINED,
        LOAD_FAILED
    }

    /** An attempt has ended; {@code requestCompleted} states whether its request also has its final answer. */
    record AttemptEnded(
            String requestId,
            int attempt,
            String worker,
            Outcome outcome,
            TimeSpan elapsed,
            boolean requestCompleted,
            InstanceStatus instanceStatus,
            int concurrentRequests,
            WorkerLoadReport loadReport)
            implements Event {}

    /** The client has disconnected before the response. */
    record ClientDisconnected(String requestId) implements Event {}

    /** A health check has ended. */
    record HealthCheckCompleted(String worker, Outcome outcome, TimeSpan elapsed, WorkerLoadReport loadReport)
            implements Event {}

    /** A load request has ended; {@code instances} is the number of instances now loaded on the worker. */
    record LoadCompleted(String worker, String function, Outcome outcome, int instances, TimeSpan elapsed)
            implements Event {}

    /**
     * Instances of a function have to be loaded ahead of its requests, for a share of the present load of a reference
     * function's instances. If the function is its own reference, its loaded instances are only renewed. A share of 0
     * ends the prewarming.
     */
    record PrewarmRequested(
            String function,
            String referenceFunction,
            double share,
            int concurrency,
            double memoryMb,
            TimeSpan typicalLoadTime)
            implements Event {}

    /**
     * The still valid part of an earlier process's snapshot; reported after the cached endpoint list and before the
     * first request.
     */
    record SnapshotRestored(PolicySnapshot snapshot) implements Event {}

    /** A timer that the policy has set is due. */
    record TimerFired(String tag) implements Event {}

    /** Another router has sent a text. */
    record GossipReceived(int peer, String text) implements Event {}

    /** A worker's report of its load; values that are not reported are NaN. */
    record WorkerLoadReport(
            double outstanding, double backlog, double utilization, double loadsInProgress, double memoryInUseShare) {}
}
