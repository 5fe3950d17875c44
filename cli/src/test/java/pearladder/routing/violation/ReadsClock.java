package pearladder.routing.violation;

/** Violates the rule that decisions read no clock. */
final class ReadsClock {
    private ReadsClock() {}

    static long now() {
        return System.nanoTime();
    }
}
