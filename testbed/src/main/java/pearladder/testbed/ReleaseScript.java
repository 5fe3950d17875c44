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

/** The operators of a day: orders on releases, given at their moments to every router over its admin door. */
public final class ReleaseScript {
    public enum What {
        START,
        STEP,
        PAUSE,
        RESUME,
        ROLLBACK
    }

    /**
     * One order.
     *
     * @param prefix of the models it is for; with a count names are prefix plus a number from 0 on
     * @param plan of a start, as the routers' door takes it but for the model; null for the other orders
     */
    public record Order(long at, What what, String prefix, int count, ObjectNode plan) {
        /** The models that it is for. */
        public List<String> models() {
            List<String> models = new ArrayList<>();
            for (int i = 0; i < count; i++) {
                models.add(prefix + i);
            }
            return models;
        }
    }

    static final String NO_ANSWER = "no answer";

    private static final ObjectMapper JSON = new ObjectMapper();
    private static final Duration ORDER_TIMEOUT = Duration.ofSeconds(5);

    private final Map<String, ObjectNode> newest = new LinkedHashMap<>();
    private final LoopbackHttpClient http;

    /**
     * Creates the operators of a scenario.
     *
     * @param http by which orders are given; null where only {@link #targets} is asked
     */
    public ReleaseScript(LoopbackHttpClient http) {
        this.http = http;
    }

    /** The orders of one line: one, or as many as it says, each so long after the one before. */
    static List<Order> read(ConfigValue line) {
        Order first = one(line);
        List<Order> orders = new ArrayList<>();
        long every = line.at("every").span("0 s");
        for (int i = 0; i < line.at("times").whole(1, 1, 1000); i++) {
            orders.add(new Order(first.at() + i * every, first.what(), first.prefix(), first.count(), first.plan()));
        }
        return orders;
    }

    private static Order one(ConfigValue order) {
        What what = order.at("order").word(What.class, null);
        ObjectNode plan = null;
        if (what == What.START) {
            plan = JSON.createObjectNode()
                    .put("from", order.at("from").text(""))
                    .put("to", order.at("to").text());
            plan.putPOJO("steps", order.at("steps").each(step -> step.number(0, 1)));
            plan.putObject("hold").put("nanos", order.at("hold").span("10 s"));
            plan.put("leastCalls", order.at("least_calls").whole(50, 0, 1_000_000));
            plan.putObject("gate")
                    .put("excess", order.at("excess").number(0.05, 0, 1))
                    .put("wrongly", order.at("wrongly").number(0.01, 0, 0.5))
                    .put("missed", order.at("missed").number(0.05, 0, 0.5));
            plan.put("onBreach", "ROLL_BACK");
        }
        return new Order(
                order.at("at").span(),
                what,
                order.at("models").text(),
                order.at("count").whole(1, 1, 10_000),
                plan);
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

    /** The targets of an order, for routers that are told them without a socket. */
    public List<RolloutTarget> targets(Order order) {
        return order.models().stream()
                .map(model -> JSON.convertValue(next(order, model), RolloutTarget.class))
                .toList();
    }

    private ObjectNode next(Order order, String model) {
        ObjectNode before = newest.get(model);
        ObjectNode target = before == null ? JSON.createObjectNode() : before.deepCopy();
        target.put("epoch", before == null ? 1 : before.path("epoch").asLong() + 1)
                .put("by", "day")
                .put("wallMillis", http == null ? 0 : System.currentTimeMillis());
        switch (order.what()) {
            case START -> {
                target.put("mode", "RUNNING").put("step", 0);
                ((ObjectNode) target.putObject("plan").setAll(order.plan())).put("model", model);
            }
            case STEP -> target.put("mode", "RUNNING")
                    .put(
                            "step",
                            Math.min(
                                    target.path("step").asInt() + 1,
                                    target.path("plan").path("steps").size() - 1));
            case PAUSE -> target.put("mode", "PAUSED");
            case RESUME -> target.put("mode", "RUNNING");
            case ROLLBACK -> target.put("mode", "ROLLED_BACK").put("step", 0);
        }
        newest.put(model, target);
        return target;
    }
}
