package pearladder.rollout;

/**
 * Progress that one router has made with a target by itself. Stored in the journal with the targets, so that the router
 * resumes from there after a restart. Read and written as JSON by component name.
 *
 * @param epoch epoch of the target; progress of an earlier epoch is ignored
 * @param step index of the step, from 0; -1 before the first
 * @param broken whether the gate found the version worse, so that a restart does not start the rollout again
 */
public record RolloutProgress(String model, long epoch, int step, boolean broken) {}
