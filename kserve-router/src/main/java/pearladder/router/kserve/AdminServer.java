package pearladder.router.kserve;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.HttpServer;
import io.vertx.core.http.HttpServerOptions;
import io.vertx.core.http.HttpServerRequest;
import java.util.List;
import pearladder.kserve.JsonBodies;
import pearladder.rollout.RolloutTarget;

/**
 * The operators' own door, on an address of its own: GET and POST /releases, GET /releases/history, and for other routers
 * GET /releases/newest.
 */
final class AdminServer {
    private static final ObjectMapper JSON = new ObjectMapper();
    private static final int LARGEST = 4 << 20;

    private static final List<String> PATHS = List.of("/releases", "/releases/history", "/releases/newest");

    private final RolloutManager desk;
    private final RouterConfig articles;
    private final HttpServer server;

    AdminServer(Vertx vertx, RouterConfig articles, RolloutManager desk) {
        this.desk = desk;
        this.articles = articles;
        this.server = vertx.createHttpServer(new HttpServerOptions()
                        .setHost(articles.admin().host())
                        .setPort(articles.admin().port()))
                .requestHandler(this::take);
    }

    Future<Integer> listen() {
        return server.listen().map(HttpServer::actualPort);
    }

    private void take(HttpServerRequest request) {
        if (!PATHS.contains(request.path())) {
            end(request, 404, JsonBodies.error("no such path; there are " + String.join(", ", PATHS)));
        } else if (request.method().equals(HttpMethod.GET)) {
            end(
                    request,
                    200,
                    switch (request.path()) {
                        case "/releases/history" -> history();
                        case "/releases/newest" -> newest(request.getParam("sum"));
                        default -> status();
                    });
        } else if (request.method().equals(HttpMethod.POST) && request.path().equals("/releases")) {
            request.body().onSuccess(body -> order(request, body));
        } else {
            end(
                    request,
                    405,
                    JsonBodies.error("this path takes GET" + (request.path().equals("/releases") ? " or POST" : "")));
        }
    }

    /** The newest target of each model, or none where the asker has the same. */
    private String newest(String sum) {
        ObjectNode all = JSON.createObjectNode().put("router", articles.name()).put("sum", desk.sum());
        ArrayNode targets = all.putArray("targets");
        if (!desk.sum().equals(sum)) {
            desk.targets().forEach(target -> targets.add(JSON.valueToTree(target)));
        }
        return all.toString();
    }

    private String status() {
        ObjectNode all = JSON.createObjectNode().put("router", articles.name());
        ArrayNode others = all.putArray("others");
        articles.others().forEach(other -> others.add(other.host() + ":" + other.port()));
        ArrayNode targets = all.putArray("targets");
        desk.targets().forEach(target -> targets.add(JSON.valueToTree(target)));
        ArrayNode lines = all.putArray("status");
        desk.status().forEach(lines::add);
        return all.toString();
    }

    private String history() {
        ArrayNode all = JSON.createArrayNode();
        desk.history().forEach(order -> all.add(JSON.valueToTree(order)));
        return all.toString();
    }

    private void order(HttpServerRequest request, Buffer body) {
        List<RolloutTarget> targets;
        try {
            targets = body.length() > LARGEST
                    ? List.of()
                    : JSON.readerForListOf(RolloutTarget.class)
                            .with(DeserializationFeature.ACCEPT_SINGLE_VALUE_AS_ARRAY)
                            .readValue(body.getBytes());
        } catch (JsonProcessingException malformed) {
            end(request, 400, JsonBodies.error("not an order: " + malformed.getOriginalMessage()));
            return;
        } catch (java.io.IOException impossible) {
            throw new IllegalStateException(impossible);
        }
        if (targets.isEmpty() || !targets.stream().allMatch(AdminServer::whole)) {
            end(
                    request,
                    400,
                    JsonBodies.error("neither an order nor a list of them (" + (LARGEST >> 20)
                            + " MB at the most): a plan with model, from, to, steps, hold, gate and onBreach, a mode, "
                            + "a step, an epoch and who orders it were expected"));
            return;
        }
        desk.order(targets, refusals -> {
            ObjectNode told = JSON.createObjectNode();
            ArrayNode all = told.putArray("refused");
            refusals.forEach(all::add);
            refusals.stream()
                    .filter(refusal -> !refusal.isEmpty())
                    .findFirst()
                    .ifPresent(first -> told.put("error", first));
            end(request, told.has("error") ? 409 : 200, told.toString());
        });
    }

    /** Whether an order that came from outside has all its parts. */
    static boolean whole(RolloutTarget target) {
        return target != null
                && target.plan() != null
                && target.mode() != null
                && target.plan().model() != null
                && target.plan().steps() != null
                && target.plan().gate() != null
                && target.plan().hold() != null
                && target.plan().from() != null
                && target.plan().to() != null
                && target.plan().onBreach() != null;
    }

    private static void end(HttpServerRequest request, int status, String body) {
        if (!request.response().ended() && !request.response().closed()) {
            request.response()
                    .setStatusCode(status)
                    .putHeader("content-type", "application/json")
                    .end(body);
        }
    }
}
