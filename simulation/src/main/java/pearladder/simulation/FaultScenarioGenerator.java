package pearladder.simulation;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.fasterxml.jackson.dataformat.yaml.YAMLMapper;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import pearladder.testbed.ScenarioPlan;

/** Generates scenarios with random faults, and variations and reductions of them. Deterministic for a given seed. */
final class FaultScenarioGenerator {
    private static final int MAX_FAULTS = 6;
    private static final int SEED_BOUND = 1_000_000;
    private static final double NANOS_PER_SECOND = 1e9;
    private static final long NANOS_PER_MILLI = 1_000_000;
    private static final double MIN_FAULT_SECONDS = 0.5;
    /** Maximum by which a variation moves a fault earlier or later. */
    private static final double MAX_SHIFT_SECONDS = 3;
    /** Reductions halve only faults that last longer than this. */
    private static final long HALVING_THRESHOLD_MILLIS = 1000;

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

    /** Returns the base script with a random seed and one or more random faults. */
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
        script.withObject("/day").put("seed", random.nextInt(SEED_BOUND));
    }

    private ObjectNode drawFault() {
        ScenarioPlan.FaultKind[] kinds = ScenarioPlan.FaultKind.values();
        ScenarioPlan.FaultKind kind = kinds[random.nextInt(kinds.length)];
        double scenarioSeconds = plan.duration() / NANOS_PER_SECOND;
        double durationSeconds = Math.min(scenarioSeconds / 2, drawDurationSeconds(kind, scenarioSeconds));
        double startSeconds = random.nextDouble() * (scenarioSeconds - durationSeconds);
        ObjectNode fault = YAML.createObjectNode()
                .put("at", inMillis(startSeconds))
                .put("lasting", inMillis(durationSeconds))
                .put("what", kind.code())
                .put("share", Math.round(5 + random.nextInt(60)) / 100.0)
                .put("part", Math.round(20 + random.nextInt(80)) / 100.0)
                .put("times", 1 + random.nextInt(9));
        if (random.nextInt(3) == 0 || kind == ScenarioPlan.FaultKind.HALL_LOST) {
            fault.put("hall", plan.zones().get(random.nextInt(plan.zones().size())));
        }
        return fault;
    }

    /** Returns a random duration of a fault; 0 for instantaneous faults. */
    private double drawDurationSeconds(ScenarioPlan.FaultKind kind, double scenarioSeconds) {
        return switch (kind) {
            case RELEASE, RESET, LIST_CUT -> 0;
            default -> MIN_FAULT_SECONDS + random.nextDouble() * scenarioSeconds / 4;
        };
    }

    private static String inMillis(double seconds) {
        return inMillis(Math.round(seconds * 1000));
    }

    private static String inMillis(long millis) {
        return millis + " ms";
    }

    /** Returns a variation: some faults are moved in time, and the seed changes or a fault is added or replaced. */
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

    /** Moves a fault in time, keeping it within the scenario. */
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

    /** Returns the scenarios that are one step smaller: first those with one fault removed, then with one halved. */
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
            long durationMillis = millis(fault, "lasting");
            if (durationMillis > HALVING_THRESHOLD_MILLIS) {
                fault.put("lasting", inMillis(durationMillis / 2));
                reductions.add(script);
            }
        }
        return reductions;
    }
}
