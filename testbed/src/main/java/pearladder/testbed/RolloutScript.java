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

/** The operators of a scenario: orders on rollouts, given at their times to every router at its admin port. */
public final class RolloutScript {
    /** Kinds of orders, by the words of scripts. */
    public enum OrderType {
        /** Starts a rollout at its first step. */
        START,
        /** Goes on to the next step. */
        STEP,
        /** Keeps the share and judges no more. */
        PAUSE,
        /** Ends a pause. */
        RESUME,
        /** Returns all requests to the old version. */
        ROLLBACK
    }

    /**
     * One order.
     *
     * @param at from the start of the scenario, in nanoseconds
     * @param modelPrefix of the models that it is for, whose names end with a number from 0 on
     * @param modelCount of those models
     * @param plan of a start, as the routers take it but for the model; null for the other orders
     */
    public record Order(long at, OrderType type, String modelPrefix, int modelCount, ObjectNode plan) {
        /** The models that it is for. */
        public List<String> models() {
            List<String> models = new ArrayList<>();
            for (int i = 0; i < modelCount; i++) {
                models.add(modelPrefix + i);
            }
            return models;
        }
    }

    /** Ends the line on a router that gave no response. */
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
     * @param http by which orders are given; null where only {@link #nextTargets} is asked
     */
    public RolloutScript(LoopbackHttpClient http) {
        this.http = http;
    }

    /** The orders of one entry of a script: one, or as many as it says, each so long after the one before. */
    static List<Order> read(ConfigValue entry) {
        Order first = one(entry);
        List<Order> orders = new ArrayList<>();
        long interval = entry.at("every").durationNanos("0 s");
        for (int i = 0; i < entry.at("times").wholeNumber(1, 1, MAX_REPEATS); i++) {
            orders.add(new Order(
                    first.at() + i * interval, first.type(), first.modelPrefix(), first.modelCount(), first.plan()));
        }
        return orders;
    }

    private static Order one(ConfigValue entry) {
        OrderType what = entry.at("order").enumConstant(OrderType.class, null);
        return new Order(
                entry.at("at").durationNanos(),
                what,
                entry.at("models").text(),
                entry.at("count").wholeNumber(1, 1, MAX_MODELS),
                what == OrderType.START ? plan(entry) : null);
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
     * Gives an order to every router, all at once; a line for each that did not take it, which ends with
     * {@link #NO_ANSWER} where the router gave no response.
     */
    List<String> give(Order order, Map<String, Integer> adminPorts) {
        ArrayNode targets = JSON.createArrayNode();
        order.models().forEach(model -> targets.add(next(order, model)));
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

    /** The targets of an order, for routers that receive them without HTTP. */
    public List<RolloutTarget> nextTargets(Order order) {
        return order.models().stream()
                .map(model -> JSON.convertValue(next(order, model), RolloutTarget.class))
                .toList();
    }

    /** The target that replaces a model's last one. */
    private ObjectNode next(Order order, String model) {
        ObjectNode before = lastTargets.get(model);
        ObjectNode target = before == null ? JSON.createObjectNode() : before.deepCopy();
        target.put("epoch", before == null ? 1 : before.path("epoch").asLong() + 1)
                .put("by", "day")
                .put("wallMillis", http == null ? 0 : System.currentTimeMillis());
        switch (order.type()) {
            case START -> {
                target.put("mode", "RUNNING").put("step", 0);
                ((ObjectNode) target.putObject("plan").setAll(order.plan())).put("model", model);
            }
            case STEP -> {
                int last = target.path("plan").path("steps").size() - 1;
                target.put("mode", "RUNNING")
                        .put("step", Math.min(target.path("step").asInt() + 1, last));
            }
            case PAUSE -> target.put("mode", "PAUSED");
            case RESUME -> target.put("mode", "RUNNING");
            case ROLLBACK -> target.put("mode", "ROLLED_BACK").put("step", 0);
        }
        lastTargets.put(model, target);
        return target;
    }
}
