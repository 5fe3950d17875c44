package pearladder.routing.api;

import java.util.List;

/** What an instance is told once, at its start. Spans of zero and null lists mean that nothing is set. */
public record RoutingSettings(
        int routerIndex,
        int routerCount,
        String zone,
        TimeSpan quantum,
        List<RequestClass> requestClasses,
        List<Tenant> tenants,
        AttemptLimits attemptLimits,
        ResponseGrace responseGrace,
        SlowStartSettings slowStart,
        LoadQuota loadQuota,
        InstanceSettings instances,
        LoadReportSettings loadReports,
        DiscoverySettings discovery,
        CostModel costs) {

    public enum Idempotency {
        RETRIABLE,
        FINGERPRINTED,
        BINDING
    }

    /** The workers that drop a repeat of a fingerprinted call. */
    public enum DeduplicationScope {
        ALL,
        ZONE,
        CELL
    }

    /** What is agreed for a category of calls. */
    public record RequestClass(
            String name,
            TimeSpan latencyObjective,
            TimeSpan deadline,
            double priorityWeight,
            double latePriorityWeight,
            Idempotency idempotency,
            DeduplicationScope deduplicationScope,
            TimeSpan deduplicationWindow,
            boolean streamed,
            double latencyObjectiveFactor) {}

    public record Tenant(String name, double share, double quotaPerSecond) {}

    /** @param connecting how long a connection to a worker may take to come up before a call leaves on it */
    public record AttemptLimits(
            int maxAttempts,
            boolean hedging,
            boolean cancel,
            boolean probes,
            boolean peers,
            boolean retryAfter,
            TimeSpan maxRetryAfter,
            double overShareWeight,
            boolean weightByWork,
            TimeSpan connectTimeout) {}

    /** How long after its decision a call may leave at the latest. */
    public TimeSpan maxSendDelay() {
        return quantum.plus(attemptLimits.connectTimeout());
    }

    /** How late a final answer and the last send to a draining worker may come. */
    public record ResponseGrace(TimeSpan grace, TimeSpan drainGrace) {}

    /** A cold worker starts at a share of its capacity and falls at a multiple of it sent for a span. */
    public record SlowStartSettings(
            double initialCapacityShare, TimeSpan warmUpTime, double overloadFactor, TimeSpan overloadTime) {}

    /** Orders to load within a window: a few, and a share of the calls taken in it. A window of zero: no limit. */
    public record LoadQuota(double burst, double requestShare, TimeSpan window) {}

    public record InstanceSettings(
            TimeSpan idleTimeout,
            boolean acceptsLoadRequests,
            boolean loadsOnMiss,
            TimeSpan loadRequestTimeout,
            boolean reportsInstanceStatus,
            boolean reportsConcurrency,
            List<Double> memoryByWorkerKind) {}

    public record LoadReportSettings(List<String> fields, boolean inAnswers) {}

    /** How the list of workers comes: pushed, or asked for within a span. */
    public record DiscoverySettings(boolean polled, TimeSpan pollInterval) {}

    public record CostModel(
            double crossZone, double waste, double probe, double modelFetch, double lateFailure, double idleMemory) {}
}
