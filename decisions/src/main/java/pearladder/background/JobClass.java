package pearladder.background;

import pearladder.routing.api.TimeSpan;

/**
 * A class of background jobs and its limits.
 *
 * @param rank 0 for the most important; while the event loop is late the highest ranks are suspended first
 * @param budgetPerSecond what the class may spend in a second; a kind of cost with 0 has no limit
 * @param burstSeconds unspent budget of at most so many seconds is saved up
 * @param maxRunning jobs that run at a time, at most
 * @param maxWaiting jobs that wait, at most; over it the one with the latest deadline is dropped
 * @param maxRetries times that a failed job is started again
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
    /** The most budget that can be saved up. */
    ResourceCost burst() {
        return budgetPerSecond.times(burstSeconds);
    }
}
