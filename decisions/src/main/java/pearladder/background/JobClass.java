package pearladder.background;

import pearladder.routing.api.TimeSpan;

/**
 * A class of background jobs and its limits.
 *
 * @param rank 0 for the most important; while the event loop lags the highest ranks are suspended first
 * @param budgetPerSecond cost that the class may spend per second; a kind of cost with 0 has no limit
 * @param burstSeconds maximum unspent budget that is saved up, in seconds
 * @param maxRunning maximum number of running jobs
 * @param maxWaiting maximum number of waiting jobs; above it the one with the latest deadline is dropped
 * @param maxRetries maximum number of retries of a failed job
 * @param backoff time before the first retry; doubles with each, up to a hundred times
 * @param runsAtShutdown whether its jobs are still started while the router shuts down
 */
public record JobClass(
        String name,
        int rank,
        ResourceCost budgetPerSecond,
        double burstSeconds,
        int maxRunning,
        int maxWaiting,
        int maxRetries,
        TimeSpan backoff,
        boolean runsAtShutdown) {
    /** Returns the maximum budget that can be saved up. */
    ResourceCost burst() {
        return budgetPerSecond.times(burstSeconds);
    }
}
