package pearladder.testbed;

/** Where the requests of a scenario come from, in the order of their due times. */
public interface RequestSource {
    /**
     * One request.
     *
     * @param dueAfter nanoseconds after the start of the scenario
     * @param number from 0 on, in the order of the source
     * @param requestClass the request class
     * @param tenant the tenant; empty for none
     * @param zone the zone of its client
     * @param work on a standard core, in nanoseconds
     * @param patience the share of the deadline that each attempt is given, 0 to 1
     */
    record ScheduledRequest(
            long dueAfter,
            long number,
            String requestClass,
            String tenant,
            String model,
            String zone,
            long work,
            double patience) {}

    /** The next request, or null once there are no more. */
    ScheduledRequest next();
}
