package pearladder.routing.api;

import java.util.List;

/** The settings of a router, given once at its start. A span of zero or an empty list means that a value is not set. */
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

    /**
     * The effect of a repeated request, in the order of the constants: none, none within the deduplication scope and
     * window of its idempotency key, or a second execution.
     */
    public enum Idempotency {
        RETRIABLE,
        FINGERPRINTED,
        BINDING
    }

    /** The workers that recognise a repeated idempotency key: all, or those in the zone or cell of the first one. */
    public enum DeduplicationScope {
        ALL,
        ZONE,
        CELL
    }

    /** The agreed service of a class of requests. */
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
     * Limits and permissions for attempts.
     *
     * @param connectTimeout how long establishing a connection to a worker may take before an attempt is sent on it
     */
    public record AttemptLimits(
            int maxAttempts,
            boolean hedging,
            boolean cancel,
            boolean healthChecks,
            boolean peers,
            boolean retryAfter,
            TimeSpan maxRetryAfter,
            double overShareWeight,
            boolean weightByWork,
            TimeSpan connectTimeout) {}

    /** Returns the maximum delay between the decision on an attempt and its sending. */
    public TimeSpan maxSendDelay() {
        return quantum.plus(attemptLimits.connectTimeout());
    }

    /** The tolerated delays of a final answer after its deadline, and of the last attempt sent to a draining worker. */
    public record ResponseGrace(TimeSpan grace, TimeSpan drainGrace) {}

    /**
     * Capacity of a worker that has just started: an initial share that grows over the warm-up time. Traffic of the
     * overload factor times that capacity, sent for the overload time, overloads the worker.
     */
    public record SlowStartSettings(
            double initialCapacityShare, TimeSpan warmUpTime, double overloadFactor, TimeSpan overloadTime) {}

    /**
     * Load requests allowed within a window: a burst, plus a share of the requests admitted in the window. A window of
     * zero means no limit.
     */
    public record LoadQuota(double burst, double requestShare, TimeSpan window) {}

    /** The properties of workers that concern loading and keeping instances; the memory is in MB. */
    public record InstanceSettings(
            TimeSpan idleTimeout,
            boolean acceptsLoadRequests,
            boolean loadsOnMiss,
            TimeSpan loadRequestTimeout,
            boolean reportsInstanceStatus,
            boolean reportsConcurrency,
            List<Double> memoryByWorkerKind) {}

    /** The fields of the workers' load reports, and whether responses include the reports. */
    public record LoadReportSettings(List<String> fields, boolean inResponses) {}

    /** How the endpoint list is obtained: pushed, or polled at an interval. */
    public record DiscoverySettings(boolean polled, TimeSpan pollInterval) {}

    /** The operators' costs of each kind of waste. */
    public record CostModel(
            double crossZone,
            double waste,
            double healthCheck,
            double modelFetch,
            double lateFailure,
            double idleMemory) {}
}
