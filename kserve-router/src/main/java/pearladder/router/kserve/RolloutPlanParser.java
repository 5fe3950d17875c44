package pearladder.router.kserve;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import pearladder.config.ConfigValue;
import pearladder.config.YamlParser;
import pearladder.rollout.RolloutPlan;
import pearladder.routing.api.TimeSpan;

/** Reads a release's plan: one for each model that it names. docs/versions.md lists the keys. */
public final class RolloutPlanParser {
    private RolloutPlanParser() {}

    /** Reads a file; throws {@link pearladder.config.ConfigErrors.Found} with every mistake in it. */
    public static List<RolloutPlan> read(Path file) {
        return read(YamlParser.read(file));
    }

    static List<RolloutPlan> read(ConfigValue file) {
        ConfigValue release = file.at("release");
        List<String> models = new ArrayList<>(release.at("models").each(ConfigValue::text));
        if (release.at("model").given()) {
            models.add(release.at("model").text());
        }
        if (models.isEmpty()) {
            release.at("model").wrong("no model is named", "write \"model: NAME\", or \"models: [NAME, ...]\"");
        }
        ConfigValue gate = release.at("gate");
        String from = release.at("from").text("");
        String to = release.at("to").text();
        List<Double> steps = release.at("steps").each(step -> step.number(0, 1e9));
        TimeSpan hold = new TimeSpan(release.at("hold").span("60 s"));
        long least = release.at("least_calls").whole(200, 0, Integer.MAX_VALUE);
        RolloutPlan.Gate terms = new RolloutPlan.Gate(
                gate.at("excess").number(0.05, 0, 1),
                gate.at("wrongly").number(0.01, 0, 1),
                gate.at("missed").number(0.05, 0, 1));
        RolloutPlan.Breach breach =
                release.at("on_breach").word(RolloutPlan.Breach.class, RolloutPlan.Breach.ROLL_BACK);
        List<RolloutPlan> plans = models.stream()
                .map(model -> new RolloutPlan(model, from, to, steps, hold, least, terms, breach))
                .toList();
        if (!plans.isEmpty()) {
            for (RolloutPlan.Fault fault : plans.get(0).faults()) {
                ConfigValue at = release;
                for (String part : fault.key().split("\\.")) {
                    at = at.at(part);
                }
                at.wrong(fault.what(), fault.mend());
            }
        }
        file.done();
        return plans;
    }
}
