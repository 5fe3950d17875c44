package pearladder.background;

import pearladder.routing.api.MonotonicTime;
import pearladder.routing.api.TimeSpan;

/** What happened that a {@link BackgroundScheduler} has to know of. */
public sealed interface JobEvent {
    /**
     * A job was submitted.
     *
     * @param jobClass name of its class
     * @param tenant on whose behalf it runs; empty for the router's own jobs
     * @param startBy when it must have been started, or null
     */
    record JobSubmitted(String id, String jobClass, String tenant, ResourceCost expectedCost, MonotonicTime startBy)
            implements JobEvent {}

    /** A job that was started has ended; the cost is what was measured. */
    record JobEnded(String id, boolean isSuccess, ResourceCost cost) implements JobEvent {}

    /** A job is not wanted any more; one that is running runs to its end. */
    record JobCancelled(String id) implements JobEvent {}

    /** The lag of the router's event loop was measured: requests go before all background jobs. */
    record LoopLagMeasured(TimeSpan loopLag) implements JobEvent {}

    /** The router shuts down: only jobs of classes that run at a shutdown are still started. */
    record ShutdownBegun() implements JobEvent {}

    /** The time asked for by {@link JobAction.ScheduleTick} has passed. */
    record Tick() implements JobEvent {}
}
