package pearladder.routing.api;

import java.util.List;
import pearladder.routing.state.PolicySnapshot;

/** What happened. Ids are the caller's; the module looks them up at its door. */
public sealed interface Event {
    enum EndpointState {
        IN_SERVICE,
        DRAINING,
        GONE
    }

    enum EndpointUpdateKind {
        DELTA,
        SNAPSHOT,
        CACHED,
        FAILED
    }

    /** A worker as the list shows it; since is null when it has run for long. */
    record Endpoint(
            String worker,
            String zone,
            String kind,
            long cell,
            EndpointState state,
            double weight,
            MonotonicTime startedAt) {}

    record EndpointsUpdated(EndpointUpdateKind kind, List<Endpoint> endpoints) implements Event {}

    /** A call; hint and usualLoad are null where they are not told, account is null where there are none. */
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

    record StreamStarted(String requestId, int attempt, String worker, TimeSpan elapsed) implements Event {}

    /** How the call met its copy, as a settled answer tells it. */
    enum InstanceStatus {
        UNTOLD,
        STOOD,
        LOAD_BEGUN,
        LOAD_JOINED,
        LOAD_FAILED
    }

    /** One leg ended; over says that the call has ended too; alike is -1 where it is not told. */
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

    record ClientDisconnected(String requestId) implements Event {}

    record HealthCheckCompleted(String worker, Outcome outcome, TimeSpan elapsed, WorkerLoadReport loadReport)
            implements Event {}

    record LoadCompleted(String worker, String function, Outcome outcome, int instances, TimeSpan elapsed)
            implements Event {}

    /**
     * Copies of a function are to stand ahead of its calls, for a share of what another function's copies bear now; like
     * itself, those that stand are only kept. A share of 0 takes the wish back.
     */
    record PrewarmRequested(
            String function,
            String referenceFunction,
            double share,
            int concurrency,
            double memoryMb,
            TimeSpan typicalLoadTime)
            implements Event {}

    /** What of an earlier life may be believed; told after the remembered list, before the first call. */
    record SnapshotRestored(PolicySnapshot snapshot) implements Event {}

    record TimerFired(String tag) implements Event {}

    record GossipReceived(int peer, String text) implements Event {}

    /** A worker's own report; a value that is not reported is NaN. */
    record WorkerLoadReport(
            double outstanding, double backlog, double utilization, double loadsInProgress, double memoryInUseShare) {}
}
