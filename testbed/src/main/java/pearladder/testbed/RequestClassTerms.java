package pearladder.testbed;

/**
 * The settings of a request class that the invariant checks and the clients use; durations in nanoseconds.
 *
 * @param latencyObjective the latency objective
 * @param deadline the deadline
 * @param keyRetention how long workers retain an idempotency key
 * @param priorityWeight the priority weight that a success within the objective earns
 * @param lateWeightShare share of the weight that a later success earns, 0 to 1
 */
public record RequestClassTerms(
        String name,
        Idempotency idempotency,
        DeduplicationScope deduplicationScope,
        long latencyObjective,
        long deadline,
        long keyRetention,
        double priorityWeight,
        double lateWeightShare) {
    /** Whether a request may be executed more than once; the constant names are configuration values. */
    public enum Idempotency {
        /** Idempotent. */
        RETRIABLE,
        /** Idempotent by key. */
        FINGERPRINTED,
        /** Non-idempotent. */
        BINDING
    }

    /** Which workers share their retained idempotency keys; the constant names are configuration values. */
    public enum DeduplicationScope {
        /** All workers. */
        ALL,
        /** The workers of one zone. */
        ZONE,
        /** The workers of one cell. */
        CELL
    }
}
