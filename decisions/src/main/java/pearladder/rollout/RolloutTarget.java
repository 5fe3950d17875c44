package pearladder.rollout;

/**
 * What operators want of one model's rollout. It is complete in itself, so that a router needs only the newest one.
 * Of two targets the one with the higher epoch holds, in whatever order they arrive and whatever the clocks say. Read
 * and written as JSON by component name.
 *
 * @param epoch one more than that of the target which the operator had seen
 * @param step least step to be at, from 0; a router may go further by itself
 * @param by who ordered it
 * @param wallMillis when it was ordered by the operator's clock, milliseconds since 1970; for the history only
 */
public record RolloutTarget(long epoch, RolloutPlan plan, Mode mode, int step, String by, long wallMillis) {
    /** What operators want the rollout to do. */
    public enum Mode {
        /** Go on step by step. */
        RUNNING,
        /** Stay at the present step. */
        PAUSED,
        /** Send every request to the old version. */
        ROLLED_BACK
    }

    /** The one of two targets of a model that holds; {@code a} where both have the same epoch. */
    public static RolloutTarget newer(RolloutTarget a, RolloutTarget b) {
        return b.epoch() > a.epoch() ? b : a;
    }
}
