package pearladder.rollout;

import pearladder.routing.api.TimeSpan;

/** An action that the owner of a {@link RolloutController} has to execute, in the order returned. */
public sealed interface RolloutAction {
    /** Route the request to this version; empty for the model without a version. */
    record UseVersion(String requestId, String version) implements RolloutAction {}

    /**
     * Load instances of a version, with low priority.
     *
     * @param referenceVersion version whose instances carry the load that {@code share} refers to
     * @param share fraction of that load for which instances of {@code version} have to be ready, 0 to 1
     */
    record LoadInstances(String model, String version, String referenceVersion, double share)
            implements RolloutAction {}

    /** Stop keeping instances of a version loaded: cancel loads that have not begun, release idle instances. */
    record ReleaseInstances(String model, String version) implements RolloutAction {}

    /**
     * Write the target to the journal, then report {@link RolloutEvent.TargetPersisted}; the operator's order is
     * confirmed only after that.
     */
    record PersistTarget(RolloutTarget target) implements RolloutAction {}

    /** Write this router's progress to the journal; nothing waits for the write. */
    record PersistProgress(RolloutProgress progress) implements RolloutAction {}

    /**
     * Answer the operator that the target is rejected, because another one came first or it is invalid.
     *
     * @param reason why it is rejected, and what the operator can do
     */
    record RejectTarget(RolloutTarget target, String reason) implements RolloutAction {}

    /** Report {@link RolloutEvent.Tick} after the delay. */
    record ScheduleTick(TimeSpan delay) implements RolloutAction {}

    /** Log a change of the rollout, with its figures. */
    record Log(String text) implements RolloutAction {}
}
