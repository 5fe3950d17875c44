package pearladder.testbed;

/**
 * What the invariant checks and the clients must know of a request class; spans in nanoseconds.
 *
 * @param latencyObjective the latency objective
 * @param deadline the deadline
 * @param keyRetention for how long workers remember an idempotency key
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
    /** What executing a request several times does; the words of configurations. */
    public enum Idempotency {
        /** Idempotent. */
        RETRIABLE,
        /** Idempotent by key. */
        FINGERPRINTED,
        /** Non-idempotent. */
        BINDING
    }

    /** Which workers share the memory of idempotency keys; the words of configurations. */
    public enum DeduplicationScope {
        /** All workers. */
        ALL,
        /** The workers of one zone. */
        ZONE,
        /** The workers of one cell. */
        CELL
    }
}
