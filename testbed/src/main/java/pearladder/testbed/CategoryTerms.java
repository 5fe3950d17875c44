package pearladder.testbed;

/** What the checker and the clients must know of a category; spans in nanoseconds. */
public record CategoryTerms(
        String name,
        Effect effect,
        Group group,
        long expected,
        long abandon,
        long remembered,
        double credit,
        double lateCredit) {
    public enum Effect {
        RETRIABLE,
        FINGERPRINTED,
        BINDING
    }

    public enum Group {
        ALL,
        ZONE,
        CELL
    }
}
