package pearladder.routing.api;

import java.util.List;

/** The settings that a router is given once, at its start. Spans of zero and empty lists mean that nothing is set. */
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

    /** What a repeat of a request does: nothing more, nothing more within the deduplication, or its work again. */
    public enum Idempotency {
        RETRIABLE,
        FINGERPRINTED,
        BINDING
    }

    /** The workers that recognise a repeat of a request with an idempotency key: all, or those where it came first. */
    public enum DeduplicationScope {
        ALL,
        ZONE,
        CELL
    }

    /** What is agreed for a class of requests. */
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

    /** A tenant with its share of the capacity. */
    public record Tenant(String name, double share, double quotaPerSecond) {}

    /**
     * What may be sent.
     *
     * @param connectTimeout how long a connection to a worker may take to come up before an attempt is sent on it
     */
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

    /** How long after the decision an attempt is sent at the latest. */
    public TimeSpan maxSendDelay() {
        return quantum.plus(attemptLimits.connectTimeout());
    }

    /** How late a final answer, and the last attempt sent to a draining worker, may come. */
    public record ResponseGrace(TimeSpan grace, TimeSpan drainGrace) {}

    /** A worker starts at a share of its capacity; a multiple of that, sent for a span, overloads it. */
    public record SlowStartSettings(
            double initialCapacityShare, TimeSpan warmUpTime, double overloadFactor, TimeSpan overloadTime) {}

    /** Load requests within a window: a few, and a share of the requests admitted in it. A window of zero: no limit. */
    public record LoadQuota(double burst, double requestShare, TimeSpan window) {}

    /** How workers load and keep instances; the memory is in MB. */
    public record InstanceSettings(
            TimeSpan idleTimeout,
            boolean acceptsLoadRequests,
            boolean loadsOnMiss,
            TimeSpan loadRequestTimeout,
            boolean reportsInstanceStatus,
            boolean reportsConcurrency,
            List<Double> memoryByWorkerKind) {}

    /** What workers report of their load. */
    public record LoadReportSettings(List<String> fields, boolean inAnswers) {}

    /** How the endpoint list comes: pushed, or polled within an interval. */
    public record DiscoverySettings(boolean polled, TimeSpan pollInterval) {}

    /** What the operators charge for each kind of waste. */
    public record CostModel(
            double crossZone, double waste, double probe, double modelFetch, double lateFailure, double idleMemory) {}
}
