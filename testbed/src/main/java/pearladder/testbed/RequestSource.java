package pearladder.testbed;

/** Supplies the requests of a scenario in the order of their due times. */
public interface RequestSource {
    /**
     * One request.
     *
     * @param dueAfter nanoseconds after the start of the scenario
     * @param number sequence number within the source, starting at 0
     * @param requestClass the request class
     * @param tenant the tenant; empty for none
     * @param zone the zone of the client
     * @param work processing time on a standard core, in nanoseconds
     * @param attemptTimeoutShare attempt timeout as a share of the deadline, 0 to 1
     */
    record ScheduledRequest(
            long dueAfter,
            long number,
            String requestClass,
            String tenant,
            String model,
            String zone,
            long work,
            double attemptTimeoutShare) {}

    /** Returns the next request, or null if there are no more. */
    ScheduledRequest next();
}
