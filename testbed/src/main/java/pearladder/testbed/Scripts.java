package pearladder.testbed;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.nio.file.Path;

/** Changes to a day's script that keep its meaning: other sizes, another rate. */
public final class Scripts {
    private Scripts() {}

    /** Only reads a script; throws {@link pearladder.config.Mistakes.Found} with every mistake in it. */
    public static void check(Path file) {
        ScenarioPlan.read(file);
    }

    /**
     * The same day for a larger or smaller fleet: calls, models and the shelf go with the number of engines, so that what
     * changes is the size alone.
     */
    public static void grow(ObjectNode script, int engines, int routers) {
        int had = 0;
        for (JsonNode group : script.at("/fleet/engines")) {
            had += group.path("count").asInt(1);
        }
        double times = (double) engines / had;
        resize(script, engines, routers, script.at("/day/rate").asDouble() * times);
        for (JsonNode flow : script.at("/traffic")) {
            scale((ObjectNode) flow, "count", times);
        }
        if (script.at("/fleet/shelf") instanceof ObjectNode shelf) {
            scale(shelf, "capacity", times);
            scale(shelf, "limit", times);
        }
    }

    private static void scale(ObjectNode node, String key, double times) {
        if (node.has(key)) {
            node.put(key, Math.max(1, (int) Math.round(node.path(key).asInt() * times)));
        }
    }

    /** Puts other sizes in place of a script's own; 0, or a rate that is none, keeps what it says. */
    public static void resize(ObjectNode script, int engines, int routers, double rate) {
        ObjectNode day = script.withObject("/day");
        if (routers > 0) {
            day.put("routers", routers);
        }
        if (rate > 0) {
            day.put("rate", rate);
        }
        if (engines > 0) {
            ArrayNode groups = (ArrayNode) script.at("/fleet/engines");
            int all = 0;
            for (JsonNode group : groups) {
                all += group.path("count").asInt(1);
            }
            int left = engines;
            for (int i = 0; i < groups.size(); i++) {
                int count = i == groups.size() - 1
                        ? left
                        : Math.round((float) groups.get(i).path("count").asInt(1) * engines / all);
                ((ObjectNode) groups.get(i)).put("count", Math.max(1, count));
                left -= count;
            }
        }
    }
}
