package pearladder.testbed;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import pearladder.config.ConfigValue;
import pearladder.rollout.RolloutTarget;

/** Simulates the operators of a scenario: sends rollout orders to the admin port of every router when they are due. */
public final class RolloutScript {
    /** Types of rollout orders; the constant names are values in scripts. */
    public enum OrderType {
        /** Starts a rollout at its first step. */
        START,
        /** Advances to the next step. */
        STEP,
        /** Keeps the traffic share and suspends the evaluation of the new version. */
        PAUSE,
        /** Ends a pause. */
        RESUME,
        /** Routes all requests to the old version again. */
        ROLLBACK
    }

    /**
     * One order.
     *
     * @param at when the order is sent, in nanoseconds after the start of the scenario
     * @param modelPrefix name prefix of the affected models; their names end with a number starting at 0
     * @param modelCount number of affected models
     * @param plan rollout plan of a START order in the format of the routers, without the model; null otherwise
     */
    public record Order(long at, OrderType type, String modelPrefix, int modelCount, ObjectNode plan) {
        /** Returns the names of the affected models. */
        public List<String> models() {
            List<String> models = new ArrayList<>();
            for (int i = 0; i < modelCount; i++) {
                models.add(modelPrefix + i);
            }
            return models;
        }
    }

    /** Suffix of the line for a router that did not respond. */
    static final String NO_ANSWER = "no answer";

    private static final ObjectMapper JSON = new ObjectMapper();
    private static final int MAX_REPEATS = 1000;
    private static final int MAX_MODELS = 10_000;
    private static final int MAX_LEAST_REQUESTS = 1_000_000;
    private static final Duration ORDER_TIMEOUT = Duration.ofSeconds(5);

    private final Map<String, ObjectNode> lastTargets = new LinkedHashMap<>();
    private final LoopbackHttpClient http;

    /**
     * Creates the operators of a scenario.
     *
     * @param http client that sends the orders; null if only {@link #nextTargets} is used
     */
    public RolloutScript(LoopbackHttpClient http) {
        this.http = http;
    }

    /** Reads the orders of one script entry: one order, or "times" orders at intervals of "every". */
    static List<Order> read(ConfigValue entry) {
        Order first = firstOrder(entry);
        List<Order> orders = new ArrayList<>();
        long interval = entry.at("every").durationNanos("0 s");
        for (int i = 0; i < entry.at("times").wholeNumber(1, 1, MAX_REPEATS); i++) {
            orders.add(new Order(
                    first.at() + i * interval, first.type(), first.modelPrefix(), first.modelCount(), first.plan()));
        }
        return orders;
    }

    private static Order firstOrder(ConfigValue entry) {
        OrderType type = entry.at("order").enumConstant(OrderType.class, null);
        return new Order(
                entry.at("at").durationNanos(),
                type,
                entry.at("models").text(),
                entry.at("count").wholeNumber(1, 1, MAX_MODELS),
                type == OrderType.START ? plan(entry) : null);
    }

    private static ObjectNode plan(ConfigValue entry) {
        ObjectNode plan = JSON.createObjectNode()
                .put("from", entry.at("from").text(""))
                .put("to", entry.at("to").text());
        plan.putPOJO("steps", entry.at("steps").each(step -> step.number(0, 1)));
        plan.putObject("hold").put("nanos", entry.at("hold").durationNanos("10 s"));
        plan.put("leastCalls", entry.at("least_calls").wholeNumber(50, 0, MAX_LEAST_REQUESTS));
        plan.putObject("gate")
                .put("excess", entry.at("excess").number(0.05, 0, 1))
                .put("wrongly", entry.at("wrongly").number(0.01, 0, 0.5))
                .put("missed", entry.at("missed").number(0.05, 0, 0.5));
        return plan.put("onBreach", "ROLL_BACK");
    }

    /**
     * Sends an order to all routers in parallel. Returns a line for each router that did not accept it, ending with
     * {@link #NO_ANSWER} if the router did not respond.
     */
    List<String> send(Order order, Map<String, Integer> adminPorts) {
        ArrayNode targets = JSON.createArrayNode();
        order.models().forEach(model -> targets.add(nextTarget(order, model)));
        Map<String, CompletableFuture<HttpResponse<String>>> responses = new LinkedHashMap<>();
        adminPorts.forEach((router, adminPort) ->
                responses.put(router, http.post(adminPort, "/releases", targets.toString(), ORDER_TIMEOUT)));
        List<String> rejections = new ArrayList<>();
        responses.forEach((router, response) -> {
            try {
                if (response.get().statusCode() != LoopbackHttpClient.OK) {
                    rejections.add(router + ": " + response.get().body());
                }
            } catch (ExecutionException unreachable) {
                rejections.add(router + ": " + NO_ANSWER);
            } catch (InterruptedException interrupted) {
                Thread.currentThread().interrupt();
            }
        });
        return rejections;
    }

    /** Returns the rollout targets of an order, for routers that receive them without HTTP. */
    public List<RolloutTarget> nextTargets(Order order) {
        return order.models().stream()
                .map(model -> JSON.convertValue(nextTarget(order, model), RolloutTarget.class))
                .toList();
    }

    /** Returns the rollout target that replaces the model's previous one. */
    private ObjectNode nextTarget(Order order, String model) {
        ObjectNode previous = lastTargets.get(model);
        ObjectNode target = previous == null ? JSON.createObjectNode() : previous.deepCopy();
        target.put("epoch", previous == null ? 1 : previous.path("epoch").asLong() + 1)
                .put("by", "day")
                .put("wallMillis", http == null ? 0 : System.currentTimeMillis());
        switch (order.type()) {
            case START -> {
                target.put("mode", "RUNNING").put("step", 0);
                ((ObjectNode) target.putObject("plan").setAll(order.plan())).put("model", model);
            }
            case STEP -> {
                int lastStep = target.path("plan").path("steps").size() - 1;
                target.put("mode", "RUNNING")
                        .put("step", Math.min(target.path("step").asInt() + 1, lastStep));
            }
            case PAUSE -> target.put("mode", "PAUSED");
            case RESUME -> target.put("mode", "RUNNING");
            case ROLLBACK -> target.put("mode", "ROLLED_BACK").put("step", 0);
        }
        lastTargets.put(model, target);
        return target;
    }
}
