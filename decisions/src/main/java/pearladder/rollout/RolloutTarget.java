package pearladder.rollout;

/**
 * What operators want of one model's release: the whole of it, so that a router needs only the newest one. Of two, the one
 * with the higher epoch holds, whatever the order in which they came and whatever the clocks said.
 *
 * @param epoch one more than that of the target which the operator had seen
 * @param step the least step to stand at, from 0 on; a router may have gone further by itself
 * @param by who ordered it
 * @param wallMillis when, by the operator's own clock; for the history only
 */
public record RolloutTarget(long epoch, RolloutPlan plan, Mode mode, int step, String by, long wallMillis) {
    /** How the release stands by the operators' order. */
    public enum Mode {
        RUNNING,
        PAUSED,
        ROLLED_BACK
    }

    /** Of two targets of one model the one that holds. */
    public static RolloutTarget newer(RolloutTarget a, RolloutTarget b) {
        return b.epoch() > a.epoch() ? b : a;
    }
}
