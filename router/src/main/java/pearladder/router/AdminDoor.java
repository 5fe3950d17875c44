package pearladder.router;

import com.fasterxml.jackson.core.JsonProcessingException;
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
import pearladder.kserve.Bodies;
import pearladder.release.Target;

/** The operators' own door, on an address of its own: GET and POST /releases, GET /releases/history. */
final class AdminDoor {
    private static final ObjectMapper JSON = new ObjectMapper();
    private static final int LARGEST = 64 << 10;

    private final ReleaseDesk desk;
    private final String router;
    private final HttpServer server;

    AdminDoor(Vertx vertx, Articles articles, ReleaseDesk desk) {
        this.desk = desk;
        this.router = articles.name();
        this.server = vertx.createHttpServer(new HttpServerOptions().setHost(articles.admin().host())
                .setPort(articles.admin().port())).requestHandler(this::take);
    }

    Future<Integer> listen() {
        return server.listen().map(HttpServer::actualPort);
    }

    private void take(HttpServerRequest request) {
        boolean known = request.path().equals("/releases") || request.path().equals("/releases/history");
        if (!known) {
            end(request, 404, Bodies.error("no such path; there are /releases and /releases/history"));
        } else if (request.method().equals(HttpMethod.GET)) {
            end(request, 200, request.path().endsWith("history") ? history() : status());
        } else if (request.method().equals(HttpMethod.POST) && !request.path().endsWith("history")) {
            request.body().onSuccess(body -> order(request, body));
        } else {
            end(request, 405, Bodies.error("this path takes GET" + (request.path().endsWith("history") ? "" : " or POST")));
        }
    }

    private String status() {
        ObjectNode all = JSON.createObjectNode().put("router", router);
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
        Target target;
        try {
            target = body.length() > LARGEST ? null : JSON.readValue(body.getBytes(), Target.class);
        } catch (JsonProcessingException malformed) {
            end(request, 400, Bodies.error("not an order: " + malformed.getOriginalMessage()));
            return;
        } catch (java.io.IOException impossible) {
            throw new IllegalStateException(impossible);
        }
        if (target == null || target.plan() == null || target.mode() == null || target.plan().model() == null
                || target.plan().steps() == null || target.plan().gate() == null || target.plan().hold() == null
                || target.plan().from() == null || target.plan().to() == null || target.plan().onBreach() == null) {
            end(request, 400, Bodies.error("not an order: a plan with model, from, to, steps, hold, gate and onBreach, a mode, "
                    + "a step, an epoch and who orders it were expected"));
            return;
        }
        desk.order(target).onSuccess(refusal -> end(request, refusal == null ? 200 : 409,
                refusal == null ? status() : Bodies.error(refusal)));
    }

    private static void end(HttpServerRequest request, int status, String body) {
        if (!request.response().ended() && !request.response().closed()) {
            request.response().setStatusCode(status).putHeader("content-type", "application/json").end(body);
        }
    }
}
