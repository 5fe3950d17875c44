package pearladder.routing.violation;

/** Against the rule for decisions: reads a clock. */
final class ReadsClock {
    private ReadsClock() {}

    static long now() {
        return System.nanoTime();
    }
}
