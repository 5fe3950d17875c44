package pearladder.rollout;

/**
 * How far one router has come with a target by itself. Kept in the journal beside the targets, so that the router
 * goes on from there after a restart. Read and written as JSON by component name.
 *
 * @param epoch epoch of the target; progress under an earlier epoch says nothing
 * @param step index of the step, from 0; -1 before the first
 * @param broken whether the gate found the version worse, so that a restart does not begin the rollout again
 */
public record RolloutProgress(String model, long epoch, int step, boolean broken) {}
