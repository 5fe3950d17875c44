package pearladder.router.kserve;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import pearladder.config.ConfigValue;
import pearladder.config.YamlParser;
import pearladder.rollout.RolloutPlan;
import pearladder.routing.api.TimeSpan;

/** Parses the file of a rollout into a plan for each model that it names. docs/versions.md lists the keys. */
public final class RolloutPlanParser {
    private RolloutPlanParser() {}

    /** Parses a file; throws {@link pearladder.config.ConfigErrors.ConfigException} with every mistake in it. */
    public static List<RolloutPlan> read(Path file) {
        return read(YamlParser.parse(file));
    }

    static List<RolloutPlan> read(ConfigValue file) {
        ConfigValue rollout = file.at("release");
        List<String> models = models(rollout);
        String from = rollout.at("from").text("");
        String to = rollout.at("to").text();
        List<Double> steps = rollout.at("steps").each(step -> step.number(0, 1e9));
        TimeSpan hold = new TimeSpan(rollout.at("hold").durationNanos("60 s"));
        long leastRequests = rollout.at("least_calls").wholeNumber(200, 0, Integer.MAX_VALUE);
        RolloutPlan.Gate gate = gate(rollout.at("gate"));
        RolloutPlan.Breach onBreach =
                rollout.at("on_breach").enumConstant(RolloutPlan.Breach.class, RolloutPlan.Breach.ROLL_BACK);
        List<RolloutPlan> plans = models.stream()
                .map(model -> new RolloutPlan(model, from, to, steps, hold, leastRequests, gate, onBreach))
                .toList();
        if (!plans.isEmpty()) {
            // the plans differ only in their models
            reportFaults(plans.get(0), rollout);
        }
        file.requireValid();
        return plans;
    }

    private static List<String> models(ConfigValue rollout) {
        List<String> models = new ArrayList<>(rollout.at("models").each(ConfigValue::text));
        if (rollout.at("model").isGiven()) {
            models.add(rollout.at("model").text());
        }
        if (models.isEmpty()) {
            rollout.at("model").addError("no model is named", "write \"model: NAME\", or \"models: [NAME, ...]\"");
        }
        return models;
    }

    private static RolloutPlan.Gate gate(ConfigValue gate) {
        return new RolloutPlan.Gate(
                gate.at("excess").number(0.05, 0, 1),
                gate.at("wrongly").number(0.01, 0, 1),
                gate.at("missed").number(0.05, 0, 1));
    }

    private static void reportFaults(RolloutPlan plan, ConfigValue rollout) {
        for (RolloutPlan.Fault fault : plan.faults()) {
            ConfigValue value = rollout;
            for (String key : fault.key().split("\\.")) {
                value = value.at(key);
            }
            value.addError(fault.problem(), fault.remedy());
        }
    }
}
