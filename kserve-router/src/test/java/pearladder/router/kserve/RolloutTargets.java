package pearladder.router.kserve;

import java.util.List;
import pearladder.rollout.RolloutPlan;
import pearladder.rollout.RolloutTarget;
import pearladder.rollout.RolloutTarget.Mode;
import pearladder.routing.api.TimeSpan;

/** Rollout targets of tests. */
final class RolloutTargets {
    private RolloutTargets() {}

    /** Returns a target that goes from version 1 to version 2 in two steps. */
    static RolloutTarget target(long epoch, String model, Mode mode, int step) {
        RolloutPlan plan = new RolloutPlan(
                model,
                "1",
                "2",
                List.of(0.25, 1.0),
                TimeSpan.seconds(60),
                50,
                new RolloutPlan.Gate(0.1, 0.01, 0.05),
                RolloutPlan.Breach.ROLL_BACK);
        return new RolloutTarget(epoch, plan, mode, step, "ops", 0);
    }
}
