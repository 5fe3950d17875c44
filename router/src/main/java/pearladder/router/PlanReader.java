package pearladder.router;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import pearladder.api.Span;
import pearladder.release.Plan;
import pearladder.yaml.Value;
import pearladder.yaml.Yaml;

/** Reads a release's plan: one for each model that it names. docs/versions.md lists the keys. */
public final class PlanReader {
    private PlanReader() {}

    /** Reads a file; throws {@link pearladder.yaml.Mistakes.Found} with every mistake in it. */
    public static List<Plan> read(Path file) {
        return read(Yaml.read(file));
    }

    static List<Plan> read(Value file) {
        Value release = file.at("release");
        List<String> models = new ArrayList<>(release.at("models").each(Value::text));
        if (release.at("model").given()) {
            models.add(release.at("model").text());
        }
        if (models.isEmpty()) {
            release.at("model").wrong("no model is named", "write \"model: NAME\", or \"models: [NAME, ...]\"");
        }
        Value gate = release.at("gate");
        String from = release.at("from").text("");
        String to = release.at("to").text();
        List<Double> steps = release.at("steps").each(step -> step.number(0, 1e9));
        Span hold = new Span(release.at("hold").span("60 s"));
        long least = release.at("least_calls").whole(200, 0, Integer.MAX_VALUE);
        Plan.Gate terms = new Plan.Gate(
                gate.at("excess").number(0.05, 0, 1),
                gate.at("wrongly").number(0.01, 0, 1),
                gate.at("missed").number(0.05, 0, 1));
        Plan.Breach breach = release.at("on_breach").word(Plan.Breach.class, Plan.Breach.ROLL_BACK);
        List<Plan> plans = models.stream()
                .map(model -> new Plan(model, from, to, steps, hold, least, terms, breach))
                .toList();
        if (!plans.isEmpty()) {
            for (Plan.Fault fault : plans.get(0).faults()) {
                Value at = release;
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
