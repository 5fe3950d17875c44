package pearladder.testbed;

/** Where the requests of a scenario come from, in the order of their moments. */
public interface RequestSource {
    /**
     * One request.
     *
     * @param due nanoseconds after the start of the scenario
     * @param number from 0 on, in the order of the source
     * @param category the request class
     * @param account the tenant; empty for none
     * @param hall the zone of its client
     * @param work on a standard core, in nanoseconds
     * @param patience the share of the deadline that each attempt is given, 0 to 1
     */
    record Drawn(
            long due,
            long number,
            String category,
            String account,
            String model,
            String hall,
            long work,
            double patience) {}

    /** The next request, or null once there are no more. */
    Drawn next();
}
