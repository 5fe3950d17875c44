package pearladder.rollout;

import java.util.ArrayList;
import java.util.List;
import pearladder.routing.api.TimeSpan;

/**
 * Plan for moving one model from one version to another. Read and written as JSON by component name.
 *
 * @param model name of the model
 * @param from old version; empty for the model without a version
 * @param to new version
 * @param steps increasing shares of the routing keys that get the new version, the last of them 1
 * @param hold minimum duration of each step
 * @param leastCalls minimum number of requests to the new version that must be completed within a step
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
    /** A test with an error probability of this or more decides no better than chance. */
    private static final double ERROR_PROBABILITY_BOUND = 0.5;

    /**
     * Criteria by which the new version counts as worse.
     *
     * @param excess how much larger its share of bad results may be than that of the old version, 0 to 1
     * @param wrongly accepted probability of finding a version worse that is not, 0 to 0.5
     * @param missed accepted probability of taking a step with a version that is worse by the excess, 0 to 0.5
     */
    public record Gate(double excess, double wrongly, double missed) {}

    /** What a router does by itself when the gate finds the new version worse. */
    public enum Breach {
        /** Stay at the present step until an operator decides. */
        PAUSE,
        /** Send every request to the old version. */
        ROLL_BACK
    }

    /**
     * An invalid value in a plan.
     *
     * @param key component of the plan; that of the gate is prefixed with {@code gate.}
     * @param problem what is wrong
     * @param remedy how to correct it
     */
    public record Fault(String key, String problem, String remedy) {}

    /** Returns all faults of the plan; empty if it is valid. */
    public List<Fault> faults() {
        List<Fault> faults = new ArrayList<>();
        if (from.equals(to)) {
            faults.add(new Fault("to", "the new version is the old one", "name another version"));
        }
        addStepFaults(faults);
        addGateFaults(faults);
        return faults;
    }

    private void addStepFaults(List<Fault> faults) {
        if (steps.isEmpty()) {
            faults.add(new Fault("steps", "no step is named", "write for example [0.05, 0.25, 1]"));
            return;
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
        if (before < 1) {
            faults.add(new Fault("steps", "the last share is " + before, "end with 1"));
        }
    }

    private void addGateFaults(List<Fault> faults) {
        if (gate.excess() <= 0 || gate.excess() > 1) {
            faults.add(new Fault("gate.excess", gate.excess() + " is no excess", "write a share from above 0 to 1"));
        }
        for (double chance : new double[] {gate.wrongly(), gate.missed()}) {
            if (chance <= 0 || chance >= ERROR_PROBABILITY_BOUND) {
                faults.add(new Fault("gate", "a chance of " + chance + " says nothing", "write one between 0 and 0.5"));
            }
        }
    }
}
