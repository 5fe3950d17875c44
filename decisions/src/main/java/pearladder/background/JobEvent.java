package pearladder.background;

import pearladder.routing.api.MonotonicTime;
import pearladder.routing.api.TimeSpan;

/** An event that a {@link BackgroundScheduler} handles. */
public sealed interface JobEvent {
    /**
     * A job was submitted.
     *
     * @param jobClass name of its class
     * @param tenant tenant on whose behalf it runs; empty for the router's own jobs
     * @param startBy deadline of its start, or null
     */
    record JobSubmitted(String id, String jobClass, String tenant, ResourceCost expectedCost, MonotonicTime startBy)
            implements JobEvent {}

    /** A job that was started has ended; {@code cost} is its measured cost. */
    record JobEnded(String id, boolean isSuccess, ResourceCost cost) implements JobEvent {}

    /** A job is no longer needed; one that is running is not interrupted. */
    record JobCancelled(String id) implements JobEvent {}

    /** The lag of the router's event loop was measured; background jobs yield to requests. */
    record LoopLagMeasured(TimeSpan loopLag) implements JobEvent {}

    /** The router shuts down: only jobs of classes that run at shutdown are still started. */
    record ShutdownBegun() implements JobEvent {}

    /** The delay of {@link JobAction.ScheduleTick} has passed. */
    record Tick() implements JobEvent {}
}
