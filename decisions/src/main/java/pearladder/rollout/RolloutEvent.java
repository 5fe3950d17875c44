package pearladder.rollout;

import java.util.List;

/** What happened that a {@link RolloutController} has to know of. */
public sealed interface RolloutEvent {
    /** An operator sent a target. It is only checked, and followed once it is in the journal. */
    record TargetOrdered(RolloutTarget target) implements RolloutEvent {}

    /** A target that was to be persisted is in the journal and survives a crash. */
    record TargetPersisted(RolloutTarget target) implements RolloutEvent {}

    /** Another router reported a target. It is followed if it is newer and ignored if it is not. */
    record TargetReceived(RolloutTarget target) implements RolloutEvent {}

    /** The journal was read, at the start and before the first request. */
    record JournalRestored(List<RolloutTarget> targets, List<RolloutProgress> progress) implements RolloutEvent {}

    /**
     * A request was received that names no version.
     *
     * @param routingKey requests with the same key get the same version: tenant and document, or the request itself
     * @param idempotencyKey of a request that is idempotent by key; empty where there is none
     */
    record RequestReceived(String requestId, String model, String routingKey, String idempotencyKey)
            implements RolloutEvent {}

    /**
     * A request ended.
     *
     * @param isGood whether it succeeded within its latency objective and without a worker's error
     * @param workers to which its attempts were sent, each once
     */
    record RequestCompleted(String requestId, boolean isGood, List<String> workers) implements RolloutEvent {}

    /** The client disconnected before its request ended, which says nothing about the version. */
    record ClientDisconnected(String requestId) implements RolloutEvent {}

    /**
     * The routing policy counted the instances of a version.
     *
     * @param readyShare part of the model's load that the ready instances can carry, 0 to 1
     */
    record InstancesReady(String model, String version, double readyShare) implements RolloutEvent {}

    /** The time asked for by {@link RolloutAction.ScheduleTick} has passed. */
    record Tick() implements RolloutEvent {}
}
