package pearladder.testbed;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.nio.file.Path;

/** Changes the fleet size, the number of routers or the request rate in the script of a scenario. */
public final class ScenarioScripts {
    private ScenarioScripts() {}

    /** Validates a script; throws {@link pearladder.config.ConfigErrors.ConfigException} with every error in it. */
    public static void check(Path file) {
        ScenarioPlan.read(file);
    }

    /**
     * Scales a script to a larger or smaller fleet: requests, models and the model store are scaled with the number
     * of workers, so that only the size changes.
     */
    public static void grow(ObjectNode script, int workerCount, int routers) {
        double factor = (double) workerCount / workers(script.at("/fleet/engines"));
        resize(script, workerCount, routers, script.at("/day/rate").asDouble() * factor);
        for (JsonNode flow : script.at("/traffic")) {
            scale((ObjectNode) flow, "count", factor);
        }
        if (script.at("/fleet/shelf") instanceof ObjectNode store) {
            scale(store, "capacity", factor);
            scale(store, "limit", factor);
        }
    }

    private static void scale(ObjectNode node, String key, double factor) {
        if (node.has(key)) {
            node.put(key, Math.max(1, (int) Math.round(node.path(key).asInt() * factor)));
        }
    }

    private static int workers(JsonNode groups) {
        int workers = 0;
        for (JsonNode group : groups) {
            workers += countOf(group);
        }
        return workers;
    }

    private static int countOf(JsonNode group) {
        return group.path("count").asInt(1);
    }

    /** Replaces the sizes in a script; a size of 0, or a rate of NaN, keeps the value of the script. */
    public static void resize(ObjectNode script, int workerCount, int routers, double rate) {
        ObjectNode day = script.withObject("/day");
        if (routers > 0) {
            day.put("routers", routers);
        }
        if (rate > 0) {
            day.put("rate", rate);
        }
        if (workerCount > 0) {
            resizeGroups((ArrayNode) script.at("/fleet/engines"), workerCount);
        }
    }

    /** Keeps the proportions of the groups; the last group receives the rounding remainder. */
    private static void resizeGroups(ArrayNode groups, int workerCount) {
        int previousTotal = workers(groups);
        int remaining = workerCount;
        for (int i = 0; i < groups.size(); i++) {
            JsonNode group = groups.get(i);
            boolean last = i == groups.size() - 1;
            int count = last ? remaining : Math.round((float) countOf(group) * workerCount / previousTotal);
            ((ObjectNode) group).put("count", Math.max(1, count));
            remaining -= count;
        }
    }
}
