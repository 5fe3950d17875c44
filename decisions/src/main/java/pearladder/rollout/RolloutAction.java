package pearladder.rollout;

import pearladder.routing.api.TimeSpan;

/** What has to be done for a rollout, in the order given. */
public sealed interface RolloutAction {
    /** Route the request to this version; empty for the model without a version. */
    record UseVersion(String requestId, String version) implements RolloutAction {}

    /**
     * Load instances of a version, with low priority.
     *
     * @param referenceVersion version whose instances carry the load that is measured against
     * @param share part of that load for which instances of the version have to be ready, 0 to 1
     */
    record LoadInstances(String model, String version, String referenceVersion, double share)
            implements RolloutAction {}

    /** Stop keeping instances of a version: cancel loads that have not begun, let idle instances go. */
    record ReleaseInstances(String model, String version) implements RolloutAction {}

    /**
     * Write the target to the journal, then report {@link RolloutEvent.TargetPersisted}; only then is the operator told
     * that it was accepted.
     */
    record PersistTarget(RolloutTarget target) implements RolloutAction {}

    /** Write this router's progress to the journal; nobody waits for that. */
    record PersistProgress(RolloutProgress progress) implements RolloutAction {}

    /**
     * Tell the operator that the target is rejected, as another one came first or its plan is invalid.
     *
     * @param reason why, and what the operator can do
     */
    record RejectTarget(RolloutTarget target, String reason) implements RolloutAction {}

    /** Report {@link RolloutEvent.Tick} after this time. */
    record ScheduleTick(TimeSpan delay) implements RolloutAction {}

    /** Log a change of the rollout, with its figures. */
    record Log(String text) implements RolloutAction {}
}
