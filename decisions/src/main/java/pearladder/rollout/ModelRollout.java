package pearladder.rollout;

import java.util.Locale;
import pearladder.rollout.RolloutTarget.Mode;
import pearladder.routing.api.MonotonicTime;

/** State of one model's rollout at this router. {@link RolloutController} owns it. */
final class ModelRollout {
    /** Value of {@link #step} before the first step is taken. */
    static final int BEFORE_FIRST_STEP = -1;

    RolloutTarget target;
    int step;
    MonotonicTime stepStartedAt;
    /** Whether the gate found the new version worse. */
    boolean isBroken;
    /** Fraction of the model's load that ready instances of the new version can carry, 0 to 1. */
    double readyShare;

    VersionComparison comparison;
    /** Whether the instances of the next step were requested. */
    boolean isNextStepPrepared;
    /** Whether instances of both versions are kept loaded for this rollout. */
    boolean keepsInstances;

    RolloutPlan plan() {
        return target.plan();
    }

    /** Returns the share of the routing keys that get the new version now, 0 to 1. */
    double share() {
        boolean isRolledBack =
                target.mode() == Mode.ROLLED_BACK || isBroken && plan().onBreach() == RolloutPlan.Breach.ROLL_BACK;
        return isRolledBack || step < 0 ? 0 : plan().steps().get(step);
    }

    double nextShare() {
        return plan().steps().get(step + 1);
    }

    private boolean isAtLastStep() {
        return step == plan().steps().size() - 1;
    }

    /** Returns whether this router may take further steps by itself. */
    boolean canAdvance() {
        return target.mode() == Mode.RUNNING
                && !isBroken
                && step < plan().steps().size() - 1;
    }

    /**
     * Returns whether the next step may be taken now: it is ordered, or the present step was held long enough and the
     * new version was found no worse; and instances for the next share are ready.
     */
    boolean isNextStepDue(MonotonicTime now) {
        boolean isOrdered = step < target.step();
        boolean mayLeaveStep = step < 0 || isOrdered || isHeld(now) && isFoundNoWorse();
        return mayLeaveStep && readyShare >= nextShare();
    }

    private boolean isHeld(MonotonicTime now) {
        return !plan().hold().isLongerThan(now.since(stepStartedAt));
    }

    private boolean isFoundNoWorse() {
        return comparison.newRequests() >= plan().leastCalls() && comparison.isFoundNoWorse();
    }

    /** Returns whether all keys have the new version and the hold is over: the old instances may be released. */
    boolean isComplete(MonotonicTime now) {
        return keepsInstances && target.mode() == Mode.RUNNING && isAtLastStep() && isHeld(now);
    }

    RolloutProgress progress() {
        return new RolloutProgress(plan().model(), target.epoch(), step, isBroken);
    }

    /** Returns one line for operators. */
    String status() {
        return String.format(
                "%s %s -> %s: epoch %d, %s, share %.2f, copies for %.2f, %s",
                plan().model(),
                displayName(plan().from()),
                displayName(plan().to()),
                target.epoch(),
                isBroken ? "broken" : displayName(target.mode()),
                share(),
                readyShare,
                comparison.figures());
    }

    static String displayName(String version) {
        return version.isEmpty() ? "(none)" : version;
    }

    static String displayName(Mode mode) {
        return mode.name().toLowerCase(Locale.ROOT);
    }
}
