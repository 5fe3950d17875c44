package pearladder.lab;

/** What the checker and the clients must know of a category; spans in nanoseconds. */
record CategoryTerms(String name, Effect effect, Group group, long expected, long abandon, long remembered,
        double credit, double lateCredit) {
    enum Effect { RETRIABLE, FINGERPRINTED, BINDING }

    enum Group { ALL, ZONE, CELL }
}
