package pearladder.simulation;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.fasterxml.jackson.dataformat.yaml.YAMLMapper;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import pearladder.testbed.ScenarioPlan;

/** Draws scenarios with random faults, and varies those that were drawn. The same seed gives the same scenarios. */
final class FaultScenarioGenerator {
    private static final int MAX_FAULTS = 6;
    private static final int SEEDS = 1_000_000;
    private static final double NANOS_PER_SECOND = 1e9;
    private static final long NANOS_PER_MILLI = 1_000_000;
    private static final double SHORTEST_FAULT_SECONDS = 0.5;
    /** A variation moves a fault by up to so much, earlier or later. */
    private static final double MAX_SHIFT_SECONDS = 3;
    /** Faults that last longer than this can be halved. */
    private static final long SHORTEST_HALVED_MILLIS = 1000;

    private static final YAMLMapper YAML = new YAMLMapper();

    private final ObjectNode base;
    private final ScenarioPlan plan;
    private final SplittableRandom random;

    /** @param base script whose faults are replaced and whose other parts are kept */
    FaultScenarioGenerator(ObjectNode base, ScenarioPlan plan) {
        this.base = base;
        this.plan = plan;
        this.random = new SplittableRandom(plan.seed());
    }

    /** A scenario with another seed and one or several random faults. */
    ObjectNode draw() {
        ObjectNode script = base.deepCopy();
        drawSeed(script);
        ArrayNode faults = script.putArray("troubles");
        int count = 1 + random.nextInt(MAX_FAULTS);
        for (int i = 0; i < count; i++) {
            faults.add(drawFault());
        }
        return script;
    }

    private void drawSeed(ObjectNode script) {
        script.withObject("/day").put("seed", random.nextInt(SEEDS));
    }

    private ObjectNode drawFault() {
        ScenarioPlan.FaultKind[] kinds = ScenarioPlan.FaultKind.values();
        ScenarioPlan.FaultKind kind = kinds[random.nextInt(kinds.length)];
        double scenarioSeconds = plan.duration() / NANOS_PER_SECOND;
        double lastingSeconds = Math.min(scenarioSeconds / 2, drawLastingSeconds(kind, scenarioSeconds));
        double atSeconds = random.nextDouble() * (scenarioSeconds - lastingSeconds);
        ObjectNode fault = YAML.createObjectNode()
                .put("at", inMillis(atSeconds))
                .put("lasting", inMillis(lastingSeconds))
                .put("what", kind.code())
                .put("share", Math.round(5 + random.nextInt(60)) / 100.0)
                .put("part", Math.round(20 + random.nextInt(80)) / 100.0)
                .put("times", 1 + random.nextInt(9));
        if (random.nextInt(3) == 0 || kind == ScenarioPlan.FaultKind.HALL_LOST) {
            fault.put("hall", plan.zones().get(random.nextInt(plan.zones().size())));
        }
        return fault;
    }

    /** How long a fault lasts; 0 for those that are over at once. */
    private double drawLastingSeconds(ScenarioPlan.FaultKind kind, double scenarioSeconds) {
        return switch (kind) {
            case RELEASE, RESET, LIST_CUT -> 0;
            default -> SHORTEST_FAULT_SECONDS + random.nextDouble() * scenarioSeconds / 4;
        };
    }

    private static String inMillis(double seconds) {
        return inMillis(Math.round(seconds * 1000));
    }

    private static String inMillis(long millis) {
        return millis + " ms";
    }

    /** The same faults at other moments, one of them another, or one more. */
    ObjectNode vary(ObjectNode original) {
        ObjectNode script = original.deepCopy();
        ArrayNode faults = faultsOf(script);
        for (JsonNode fault : faults) {
            if (random.nextInt(2) == 0) {
                shift((ObjectNode) fault, random.nextDouble() * 2 * MAX_SHIFT_SECONDS - MAX_SHIFT_SECONDS);
            }
        }
        int variation = random.nextInt(4);
        if (variation == 0) {
            drawSeed(script);
        } else if (variation == 1 && faults.size() < MAX_FAULTS) {
            faults.add(drawFault());
        } else if (variation == 2) {
            faults.set(random.nextInt(faults.size()), drawFault());
        }
        return script;
    }

    /** Moves a fault in time, within the scenario. */
    private void shift(ObjectNode fault, double seconds) {
        long latest = plan.duration() / NANOS_PER_MILLI - millis(fault, "lasting");
        long shifted = millis(fault, "at") + Math.round(seconds * 1000);
        fault.put("at", inMillis(Math.max(0, Math.min(latest, shifted))));
    }

    private static long millis(JsonNode fault, String key) {
        return Long.parseLong(fault.path(key).asText().split(" ")[0]);
    }

    private static ArrayNode faultsOf(ObjectNode script) {
        return (ArrayNode) script.path("troubles");
    }

    /** The scenarios that are one step smaller: first those with a fault less, then those with a shorter one. */
    static List<ObjectNode> reductionsOf(ObjectNode original) {
        List<ObjectNode> reductions = new ArrayList<>();
        int count = faultsOf(original).size();
        for (int i = 0; i < count; i++) {
            ObjectNode script = original.deepCopy();
            faultsOf(script).remove(i);
            reductions.add(script);
        }
        for (int i = 0; i < count; i++) {
            ObjectNode script = original.deepCopy();
            ObjectNode fault = (ObjectNode) faultsOf(script).get(i);
            long lastingMillis = millis(fault, "lasting");
            if (lastingMillis > SHORTEST_HALVED_MILLIS) {
                fault.put("lasting", inMillis(lastingMillis / 2));
                reductions.add(script);
            }
        }
        return reductions;
    }
}
