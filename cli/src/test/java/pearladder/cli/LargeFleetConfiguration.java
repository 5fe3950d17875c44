package pearladder.cli;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.SerializationFeature;
import com.fasterxml.jackson.databind.json.JsonMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.TreeMap;

/** Writes router configurations with many workers in several JSON layouts. */
final class LargeFleetConfiguration {
    /** The order of the keys of an object and the white space between them. */
    enum Form {
        /** Keys as in the example of the deployment documentation, on one line. */
        PAGE_ORDER,
        /** Keys sorted, on one line: all workers come before the limits. */
        SORTED,
        /** Keys sorted, one value a line. */
        INDENTED
    }

    private static final ObjectMapper JSON = JsonMapper.builder().build();

    private LargeFleetConfiguration() {}

    /**
     * Replaces the list of workers in a configuration file.
     *
     * @param file the configuration file, which is overwritten
     * @param workerPort the port of every worker
     */
    static void write(Path file, Form form, int workers, int workerPort) throws IOException {
        JsonNode configuration = JSON.readTree(file.toFile());
        ObjectNode members = (ObjectNode) configuration.at("/known/events/0/members");
        ArrayNode list = members.putArray("servers");
        for (int i = 0; i < workers; i++) {
            list.add(JSON.readTree(member(i, "in_service", workerPort)));
        }
        Files.writeString(file, text(configuration, form));
    }

    private static String text(JsonNode configuration, Form form) throws IOException {
        if (form == Form.PAGE_ORDER) {
            List<String> order = List.of("name", "listen", "seed", "limits", "feed", "known", "settings");
            ObjectNode ordered = JSON.createObjectNode();
            order.forEach(key -> ordered.set(key, configuration.get(key)));
            return JSON.writeValueAsString(ordered);
        }
        ObjectMapper sorted = JsonMapper.builder()
                .enable(SerializationFeature.ORDER_MAP_ENTRIES_BY_KEYS)
                .configure(SerializationFeature.INDENT_OUTPUT, form == Form.INDENTED)
                .build();
        return sorted.writeValueAsString(sorted.convertValue(configuration, TreeMap.class));
    }

    /** Returns a worker in the form of discovery events. */
    static String member(int index, String state, int port) {
        return String.format(
                "{\"id\":\"%s\",\"addr\":\"127.0.0.1:%d\",\"zone\":\"hall\",\"kind\":\"kind\",\"cell\":%d,"
                        + "\"state\":\"%s\",\"weight\":1,\"started_ms\":0}",
                id(index), port, index % 5, state);
    }

    /** Returns a worker id in the form that operators use. */
    private static String id(int index) {
        return String.format("s-%08x", (int) (index * 2_654_435_761L));
    }
}
