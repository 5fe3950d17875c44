package pearladder.testbed;

/**
 * What the invariant checks and the clients must know of a request class; spans in nanoseconds.
 *
 * @param expected the latency objective
 * @param abandon the deadline
 * @param remembered for how long workers remember an idempotency key
 * @param credit the priority weight that a success within the objective earns
 * @param lateCredit share of the weight that a later success earns, 0 to 1
 */
public record CategoryTerms(
        String name,
        Effect effect,
        Group group,
        long expected,
        long abandon,
        long remembered,
        double credit,
        double lateCredit) {
    /** What executing a request several times does; the words of configurations. */
    public enum Effect {
        /** Idempotent. */
        RETRIABLE,
        /** Idempotent by key. */
        FINGERPRINTED,
        /** Non-idempotent. */
        BINDING
    }

    /** Which workers share the memory of idempotency keys; the words of configurations. */
    public enum Group {
        /** All workers. */
        ALL,
        /** The workers of one zone. */
        ZONE,
        /** The workers of one cell. */
        CELL
    }
}
