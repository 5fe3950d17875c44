package pearladder.router.kserve;

import com.fasterxml.jackson.core.type.TypeReference;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.function.UnaryOperator;
import pearladder.rollout.RolloutPlan;
import pearladder.rollout.RolloutTarget;

/**
 * An operator's side of releases: looks at every router's doors, makes the order that follows the newest one seen,
 * and gives it to all of them. A router that is away is named; it may be given the same order again.
 */
public final class RolloutClient {
    /** What came of an order: how many routers took it, and a line for each. */
    public record RolloutResult(int acceptedCount, int requestedCount, List<String> lines) {}

    private static final ObjectMapper JSON = new ObjectMapper();

    private final List<String> doors;
    private final String by;
    private final HttpClient client = HttpClient.newBuilder()
            .version(HttpClient.Version.HTTP_1_1)
            .connectTimeout(Duration.ofSeconds(2))
            .build();

    /** @param doors addresses of the routers' admin doors; @param by who orders */
    public RolloutClient(List<String> doors, String by) {
        this.doors = doors;
        this.by = by;
    }

    /** The same for these routers and all whom they learn from. */
    public RolloutClient withPeers() {
        List<String> all = new ArrayList<>(doors);
        for (String door : doors) {
            try {
                get(door, "/releases").path("others").forEach(other -> {
                    if (!all.contains(other.asText())) {
                        all.add(other.asText());
                    }
                });
            } catch (IOException away) {
                continue;
            }
        }
        return new RolloutClient(all, by);
    }

    /** How every release stands at each router. */
    public List<String> status() {
        return each("/releases", (door, body) -> {
            List<String> lines = new ArrayList<>();
            body.path("status")
                    .forEach(line -> lines.add(door + " (" + body.path("router").asText() + "): " + line.asText()));
            return lines.isEmpty() ? List.of(door + " (" + body.path("router").asText() + "): no release") : lines;
        });
    }

    /** Every order that the routers keep, oldest first. */
    public List<String> history() {
        return each("/releases/history", (door, body) -> {
            List<String> lines = new ArrayList<>();
            for (JsonNode order : body) {
                lines.add(door + ": "
                        + java.time.Instant.ofEpochMilli(
                                order.path("wallMillis").asLong()) + " "
                        + order.path("by").asText() + " "
                        + order.path("mode").asText().toLowerCase(java.util.Locale.ROOT) + " "
                        + order.path("plan").path("model").asText() + " to "
                        + order.path("plan").path("to").asText()
                        + ", epoch " + order.path("epoch").asLong() + ", step "
                        + order.path("step").asInt());
            }
            return lines;
        });
    }

    private interface Reading {
        List<String> lines(String door, JsonNode body);
    }

    private List<String> each(String path, Reading reading) {
        List<String> lines = new ArrayList<>();
        for (String door : doors) {
            try {
                lines.addAll(reading.lines(door, get(door, path)));
            } catch (IOException away) {
                lines.add(door + ": no answer: " + away.getMessage());
            }
        }
        return lines;
    }

    /** Begins a release of each model at its first step. */
    public RolloutResult start(List<RolloutPlan> plans) {
        Map<String, RolloutTarget> newest = newest();
        List<String> wrong = new ArrayList<>();
        List<RolloutTarget> orders = new ArrayList<>();
        for (RolloutPlan plan : plans) {
            RolloutTarget before = newest.get(plan.model());
            String serves = before == null
                    ? null
                    : before.mode() == RolloutTarget.Mode.ROLLED_BACK
                            ? before.plan().from()
                            : before.plan().to();
            if (serves != null && !serves.equals(plan.from()) && !before.plan().equals(plan)) {
                // all calls would go at once to a version that stands nowhere
                wrong.add(plan.model() + ": its calls get version \"" + serves + "\", not \"" + plan.from()
                        + "\"; mend \"from\", or roll the release before it back");
                continue;
            }
            orders.add(new RolloutTarget(
                    after(before), plan, RolloutTarget.Mode.RUNNING, 0, by, System.currentTimeMillis()));
        }
        RolloutResult told = give(orders);
        wrong.addAll(told.lines());
        return new RolloutResult(told.acceptedCount(), told.requestedCount() + plans.size() - orders.size(), wrong);
    }

    /**
     * Changes the releases of some models.
     *
     * @param models names, or none for every release there is
     * @param change from the newest target to the next; its epoch, who and when are set here
     */
    public RolloutResult change(List<String> models, UnaryOperator<RolloutTarget> change) {
        Map<String, RolloutTarget> newest = newest();
        List<RolloutTarget> orders = new ArrayList<>();
        List<String> unknown = new ArrayList<>();
        for (String model : models.isEmpty() ? newest.keySet() : models) {
            RolloutTarget before = newest.get(model);
            if (before == null) {
                unknown.add(model + ": no release there; start one");
                continue;
            }
            RolloutTarget wanted = change.apply(before);
            orders.add(new RolloutTarget(
                    after(before), wanted.plan(), wanted.mode(), wanted.step(), by, System.currentTimeMillis()));
        }
        RolloutResult told = give(orders);
        unknown.addAll(told.lines());
        return new RolloutResult(
                told.acceptedCount(),
                told.requestedCount() + (models.isEmpty() ? 0 : models.size() - orders.size()),
                unknown);
    }

    private static long after(RolloutTarget before) {
        return before == null ? 1 : before.epoch() + 1;
    }

    /** The newest target of each model that any router knows; one that was away may know an older one. */
    private Map<String, RolloutTarget> newest() {
        Map<String, RolloutTarget> newest = new LinkedHashMap<>();
        for (String door : doors) {
            try {
                List<RolloutTarget> targets =
                        JSON.convertValue(get(door, "/releases").path("targets"), new TypeReference<>() {});
                targets.forEach(target -> newest.merge(target.plan().model(), target, RolloutTarget::newer));
            } catch (IOException away) {
                continue;
            }
        }
        return newest;
    }

    /** All orders to all routers at once: a router that is away holds nobody up. */
    private RolloutResult give(List<RolloutTarget> orders) {
        if (orders.isEmpty()) {
            return new RolloutResult(0, 0, List.of());
        }
        Map<String, CompletableFuture<HttpResponse<String>>> answers = new LinkedHashMap<>();
        for (String door : doors) {
            answers.put(
                    door,
                    client.sendAsync(
                            HttpRequest.newBuilder(URI.create("http://" + door + "/releases"))
                                    .timeout(Duration.ofSeconds(10))
                                    .POST(HttpRequest.BodyPublishers.ofString(
                                            JSON.valueToTree(orders).toString()))
                                    .build(),
                            HttpResponse.BodyHandlers.ofString()));
        }
        List<String> lines = new ArrayList<>();
        int took = 0;
        for (Map.Entry<String, CompletableFuture<HttpResponse<String>>> answer : answers.entrySet()) {
            List<String> refused = refused(answer.getValue());
            for (int i = 0; i < orders.size(); i++) {
                RolloutTarget order = orders.get(i);
                String refusal = refused == null ? null : i < refused.size() ? refused.get(i) : refused.get(0);
                took += refusal != null && refusal.isEmpty() ? 1 : 0;
                lines.add(answer.getKey() + ": " + order.plan().model() + " epoch " + order.epoch() + ": "
                        + (refusal == null
                                ? "no answer; it learns the order when it is back, or give it again"
                                : refusal.isEmpty()
                                        ? order.mode().name().toLowerCase(java.util.Locale.ROOT)
                                        : "refused: " + refusal));
            }
        }
        return new RolloutResult(took, orders.size() * doors.size(), lines);
    }

    /** Why each order was refused, empty for one that was taken; null where there was no answer. */
    private static List<String> refused(CompletableFuture<HttpResponse<String>> answer) {
        try {
            JsonNode told = JSON.readTree(answer.get().body());
            List<String> refused = new ArrayList<>();
            told.path("refused").forEach(refusal -> refused.add(refusal.asText()));
            return refused.isEmpty() ? List.of(told.path("error").asText("not an answer of a router")) : refused;
        } catch (IOException | ExecutionException away) {
            return null;
        } catch (InterruptedException stopped) {
            Thread.currentThread().interrupt();
            return null;
        }
    }

    private JsonNode get(String door, String path) throws IOException {
        try {
            HttpResponse<String> answer = client.send(
                    HttpRequest.newBuilder(URI.create("http://" + door + path))
                            .timeout(Duration.ofSeconds(5))
                            .build(),
                    HttpResponse.BodyHandlers.ofString());
            return JSON.readTree(answer.body());
        } catch (InterruptedException stopped) {
            Thread.currentThread().interrupt();
            throw new IOException("interrupted");
        }
    }
}
