package pearladder.rollout;

/**
 * How far one router has come by itself with a target; kept beside the orders, so that a restart goes on from there.
 *
 * @param epoch of the target; what was reached under an earlier one says nothing
 * @param step from 0 on
 * @param broken whether the gate had found the version worse: a restart must not begin it again
 */
public record RolloutProgress(String model, long epoch, int step, boolean broken) {}
