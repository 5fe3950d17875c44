package pearladder.rollout;

import java.util.List;

/** An event that a {@link RolloutController} handles. */
public sealed interface RolloutEvent {
    /** An operator sent a target. It is validated, and takes effect once it is in the journal. */
    record TargetOrdered(RolloutTarget target) implements RolloutEvent {}

    /** A target was written to the journal and survives a crash. */
    record TargetPersisted(RolloutTarget target) implements RolloutEvent {}

    /** Another router reported a target. It takes effect if it is newer, and is ignored otherwise. */
    record TargetReceived(RolloutTarget target) implements RolloutEvent {}

    /** The journal was read at startup, before the first request. */
    record JournalRestored(List<RolloutTarget> targets, List<RolloutProgress> progress) implements RolloutEvent {}

    /**
     * A request was received that names no version.
     *
     * @param routingKey requests with the same key get the same version: tenant and document, or the request itself
     * @param idempotencyKey key of a request that is idempotent by key; empty if there is none
     */
    record RequestReceived(String requestId, String model, String routingKey, String idempotencyKey)
            implements RolloutEvent {}

    /**
     * A request was completed.
     *
     * @param isGood whether it succeeded within its latency objective and without a worker's error
     * @param workers workers to which its attempts were sent, each listed once
     */
    record RequestCompleted(String requestId, boolean isGood, List<String> workers) implements RolloutEvent {}

    /** The client disconnected before its request was completed, so that the request counts for no version. */
    record ClientDisconnected(String requestId) implements RolloutEvent {}

    /**
     * The routing policy counted the instances of a version.
     *
     * @param readyShare fraction of the model's load that the ready instances can carry, 0 to 1
     */
    record InstancesReady(String model, String version, double readyShare) implements RolloutEvent {}

    /** The delay of {@link RolloutAction.ScheduleTick} has passed. */
    record Tick() implements RolloutEvent {}
}
