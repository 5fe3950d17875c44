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
import java.io.IOException;
import java.util.List;
import pearladder.kserve.JsonBodies;
import pearladder.rollout.RolloutPlan;
import pearladder.rollout.RolloutTarget;

/**
 * The HTTP server for operators, on its own address: GET and POST /releases, GET /releases/history, and for other
 * routers GET /releases/newest.
 */
final class AdminServer {
    private static final ObjectMapper JSON = new ObjectMapper();
    private static final int MAX_REQUEST_BYTES = 4 << 20;
    private static final String STATUS_PATH = "/releases";
    private static final String HISTORY_PATH = "/releases/history";
    private static final String NEWEST_PATH = "/releases/newest";
    private static final List<String> PATHS = List.of(STATUS_PATH, HISTORY_PATH, NEWEST_PATH);

    private final RolloutManager rolloutManager;
    private final RouterConfig config;
    private final HttpServer server;

    AdminServer(Vertx vertx, RouterConfig config, RolloutManager rolloutManager) {
        this.rolloutManager = rolloutManager;
        this.config = config;
        this.server = vertx.createHttpServer(new HttpServerOptions()
                        .setHost(config.admin().host())
                        .setPort(config.admin().port()))
                .requestHandler(this::handle);
    }

    /** Starts listening; the future completes with the port. */
    Future<Integer> listen() {
        return server.listen().map(HttpServer::actualPort);
    }

    private void handle(HttpServerRequest request) {
        String path = request.path();
        if (!PATHS.contains(path)) {
            respond(request, 404, JsonBodies.error("no such path; there are " + String.join(", ", PATHS)));
        } else if (request.method().equals(HttpMethod.GET)) {
            respond(request, 200, get(request));
        } else if (request.method().equals(HttpMethod.POST) && path.equals(STATUS_PATH)) {
            request.body().onSuccess(body -> setTargets(request, body));
        } else {
            String methods = "GET" + (path.equals(STATUS_PATH) ? " or POST" : "");
            respond(request, 405, JsonBodies.error("this path takes " + methods));
        }
    }

    private String get(HttpServerRequest request) {
        return switch (request.path()) {
            case HISTORY_PATH -> history();
            case NEWEST_PATH -> newest(request.getParam("sum"));
            default -> status();
        };
    }

    /** Returns the newest target of each model, or none where the peer's checksum is the same. */
    private String newest(String checksum) {
        String ownChecksum = rolloutManager.checksum();
        ObjectNode response =
                JSON.createObjectNode().put("router", config.name()).put("sum", ownChecksum);
        ArrayNode targets = response.putArray("targets");
        if (!ownChecksum.equals(checksum)) {
            rolloutManager.targets().forEach(target -> targets.add(JSON.valueToTree(target)));
        }
        return response.toString();
    }

    private String status() {
        ObjectNode response = JSON.createObjectNode().put("router", config.name());
        ArrayNode peers = response.putArray("others");
        config.peers().forEach(peer -> peers.add(peer.host() + ":" + peer.port()));
        ArrayNode targets = response.putArray("targets");
        rolloutManager.targets().forEach(target -> targets.add(JSON.valueToTree(target)));
        ArrayNode lines = response.putArray("status");
        rolloutManager.status().forEach(lines::add);
        return response.toString();
    }

    private String history() {
        ArrayNode response = JSON.createArrayNode();
        rolloutManager.history().forEach(target -> response.add(JSON.valueToTree(target)));
        return response.toString();
    }

    private void setTargets(HttpServerRequest request, Buffer body) {
        List<RolloutTarget> targets;
        try {
            targets = parse(body);
        } catch (JsonProcessingException malformed) {
            respond(request, 400, JsonBodies.error("not an order: " + malformed.getOriginalMessage()));
            return;
        }
        if (targets.isEmpty() || !targets.stream().allMatch(AdminServer::isComplete)) {
            respond(
                    request,
                    400,
                    JsonBodies.error("neither an order nor a list of them (" + (MAX_REQUEST_BYTES >> 20)
                            + " MB at the most): a plan with model, from, to, steps, hold, gate and onBreach, a mode, "
                            + "a step, an epoch and who orders it were expected"));
            return;
        }
        rolloutManager.setTargets(targets, refusals -> respond(request, refusals));
    }

    /** Parses one target or a list of targets; returns none where the body is too long. */
    private static List<RolloutTarget> parse(Buffer body) throws JsonProcessingException {
        if (body.length() > MAX_REQUEST_BYTES) {
            return List.of();
        }
        try {
            return JSON.readerForListOf(RolloutTarget.class)
                    .with(DeserializationFeature.ACCEPT_SINGLE_VALUE_AS_ARRAY)
                    .readValue(body.getBytes());
        } catch (JsonProcessingException malformed) {
            throw malformed;
        } catch (IOException impossible) {
            throw new IllegalStateException(impossible);
        }
    }

    /** @param refusals for each target, in their order: empty, or the reason why it was refused */
    private static void respond(HttpServerRequest request, List<String> refusals) {
        ObjectNode response = JSON.createObjectNode();
        ArrayNode refused = response.putArray("refused");
        refusals.forEach(refused::add);
        refusals.stream()
                .filter(refusal -> !refusal.isEmpty())
                .findFirst()
                .ifPresent(refusal -> response.put("error", refusal));
        respond(request, response.has("error") ? 409 : 200, response.toString());
    }

    /** Returns whether a received target has all its parts. */
    static boolean isComplete(RolloutTarget target) {
        return target != null && target.mode() != null && isComplete(target.plan());
    }

    private static boolean isComplete(RolloutPlan plan) {
        return plan != null
                && plan.model() != null
                && plan.steps() != null
                && plan.gate() != null
                && plan.hold() != null
                && plan.from() != null
                && plan.to() != null
                && plan.onBreach() != null;
    }

    private static void respond(HttpServerRequest request, int status, String body) {
        if (!request.response().ended() && !request.response().closed()) {
            request.response()
                    .setStatusCode(status)
                    .putHeader("content-type", "application/json")
                    .end(body);
        }
    }
}
