package pearladder.rollout;

/**
 * Desired state of one model's rollout, ordered by an operator. It is self-contained, so that a router needs only the
 * newest one. Of two targets the one with the higher epoch takes precedence, regardless of the order of arrival and of
 * clocks. Read and written as JSON by component name.
 *
 * @param epoch one more than the epoch of the target that the operator last saw
 * @param step index of the minimum step, from 0; a router may take further steps by itself
 * @param by name of the operator who ordered it
 * @param wallMillis time of the order by the operator's clock, milliseconds since 1970; used only in the history
 */
public record RolloutTarget(long epoch, RolloutPlan plan, Mode mode, int step, String by, long wallMillis) {
    /** Desired mode of a rollout. */
    public enum Mode {
        /** Advance step by step. */
        RUNNING,
        /** Stay at the present step. */
        PAUSED,
        /** Send every request to the old version. */
        ROLLED_BACK
    }

    /** Returns which of two targets of a model takes precedence; {@code a} if both have the same epoch. */
    public static RolloutTarget newer(RolloutTarget a, RolloutTarget b) {
        return b.epoch() > a.epoch() ? b : a;
    }
}
