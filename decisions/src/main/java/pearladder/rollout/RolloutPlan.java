package pearladder.rollout;

import java.util.ArrayList;
import java.util.List;
import pearladder.routing.api.TimeSpan;

/**
 * How one model goes from a version to another.
 *
 * @param model the model's name
 * @param from the version that serves now; empty for the model without a version
 * @param to the new version
 * @param steps shares of the keys, rising, the last of them 1
 * @param hold how long a step lasts at the least
 * @param leastCalls calls of the new version that a step must have seen
 */
public record RolloutPlan(
        String model,
        String from,
        String to,
        List<Double> steps,
        TimeSpan hold,
        long leastCalls,
        Gate gate,
        Breach onBreach) {
    /**
     * When the new version counts as worse.
     *
     * @param excess how much larger its share of bad results may be than the old one's, 0 to 1
     * @param wrongly the chance of taking back a version that is no worse, 0 to 1
     * @param missed the chance of letting a step pass for one that is worse by the excess, 0 to 1
     */
    public record Gate(double excess, double wrongly, double missed) {}

    /** What is done on a breach. */
    public enum Breach {
        PAUSE,
        ROLL_BACK
    }

    /** What is wrong with a plan, and how it is mended. */
    public record Fault(String key, String what, String mend) {}

    /** Every fault of the plan; none where it can be followed. */
    public List<Fault> faults() {
        List<Fault> faults = new ArrayList<>();
        if (from.equals(to)) {
            faults.add(new Fault("to", "the new version is the old one", "name another version"));
        }
        if (steps.isEmpty()) {
            faults.add(new Fault("steps", "no step is named", "write for example [0.05, 0.25, 1]"));
        }
        double before = 0;
        for (double step : steps) {
            if (step > 1) {
                faults.add(new Fault("steps", "a share of " + step + " is more than all", "write shares from 0 to 1"));
            } else if (step <= before) {
                faults.add(new Fault(
                        "steps",
                        "a share of " + step + " after " + before + " does not rise",
                        "write rising shares; to go back, roll back"));
            }
            before = step;
        }
        if (!steps.isEmpty() && before < 1) {
            faults.add(new Fault("steps", "the last share is " + before, "end with 1"));
        }
        if (gate.excess() <= 0 || gate.excess() > 1) {
            faults.add(new Fault("gate.excess", gate.excess() + " is no excess", "write a share from above 0 to 1"));
        }
        for (double chance : new double[] {gate.wrongly(), gate.missed()}) {
            if (chance <= 0 || chance >= 0.5) {
                faults.add(new Fault("gate", "a chance of " + chance + " says nothing", "write one between 0 and 0.5"));
            }
        }
        return faults;
    }
}
