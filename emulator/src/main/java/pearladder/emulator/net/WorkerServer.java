package pearladder.emulator.net;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpServer;
import io.vertx.core.http.HttpServerOptions;
import io.vertx.core.http.HttpServerRequest;
import io.vertx.core.http.HttpServerResponse;
import java.io.IOException;
import java.util.List;
import java.util.Locale;
import pearladder.emulator.PendingRequest;
import pearladder.emulator.WorkerModel;
import pearladder.emulator.WorkerReply;
import pearladder.emulator.WorkerRequest;
import pearladder.kserve.Headers;
import pearladder.kserve.JsonBodies;
import pearladder.kserve.Route;

/** An emulated worker on a loopback port, speaking KServe v2 with the model repository extension. */
public final class WorkerServer {
    private static final int IDLE_TIMEOUT_SECONDS = 120;
    private static final int OK = 200;
    private static final int SERVICE_UNAVAILABLE = 503;
    private static final String CONTENT_TYPE = "content-type";
    private static final String JSON_TYPE = "application/json";
    /** Content length announced for a truncated response, more than the bytes sent. */
    private static final String TRUNCATED_LENGTH = "1000";

    private final Vertx vertx;
    private final WorkerModel worker;
    private final Runnable onOverloadCrash;
    private HttpServer server;
    private int port;
    private boolean hanging;
    private boolean truncating;
    private boolean misnaming;

    /** @param onOverloadCrash called after the worker has crashed from overload */
    WorkerServer(Vertx vertx, WorkerModel worker, Runnable onOverloadCrash) {
        this.vertx = vertx;
        this.worker = worker;
        this.onOverloadCrash = onOverloadCrash;
    }

    /** Returns the model of the worker behind this server. */
    public WorkerModel worker() {
        return worker;
    }

    /** Returns the port that the server listens on, which stays the same after a restart. */
    public int port() {
        return port;
    }

    /** Sets whether the server accepts connections and reads requests but never responds. */
    public void setHanging(boolean on) {
        hanging = on;
    }

    /** Sets whether the server resets the connection after the beginning of each response. */
    public void setTruncatingResponses(boolean on) {
        truncating = on;
    }

    /** Sets whether responses name another model than the request. */
    public void setMisnamingModels(boolean on) {
        misnaming = on;
    }

    Future<Void> listen() {
        HttpServerOptions options = new HttpServerOptions()
                .setHost("127.0.0.1")
                .setPort(port)
                .setReuseAddress(true)
                .setIdleTimeout(IDLE_TIMEOUT_SECONDS);
        server = vertx.createHttpServer(options).requestHandler(this::handle);
        return server.listen()
                .onSuccess(listening -> port = listening.actualPort())
                .mapEmpty();
    }

    /** Crashes the worker and closes all connections. */
    Future<Void> crash() {
        worker.crash();
        hanging = false;
        return server == null ? Future.succeededFuture() : server.close();
    }

    private void handle(HttpServerRequest request) {
        if (!isResponding()) {
            return;
        }
        Route route = Route.of(request.path());
        HttpServerResponse response = request.response();
        switch (route.kind()) {
            case INFER -> request.body().onSuccess(body -> infer(request, route, body));
            case LOAD -> request.body().onSuccess(body -> load(request, route, body));
            case UNLOAD -> {
                worker.unload(route.model());
                response.end("{}");
            }
            case INDEX -> response.putHeader(CONTENT_TYPE, JSON_TYPE).end(JsonBodies.index(index()));
            case LIVE -> endHealthCheck(response, true);
            case READY -> endHealthCheck(response, !worker.isDraining());
            default -> response.setStatusCode(404).end(JsonBodies.error("not served by this worker"));
        }
    }

    private void endHealthCheck(HttpServerResponse response, boolean healthy) {
        response.setStatusCode(healthy ? OK : SERVICE_UNAVAILABLE)
                .putHeader(Headers.LOAD_REPORT, worker.report().text())
                .end();
    }

    private boolean isResponding() {
        return !hanging && worker.isUp();
    }

    private List<JsonBodies.IndexedModel> index() {
        return worker.index().stream()
                .map(instance -> new JsonBodies.IndexedModel(instance.model(), instance.ready() ? "READY" : "LOADING"))
                .toList();
    }

    private void infer(HttpServerRequest request, Route route, Buffer body) {
        if (!isResponding()) {
            return;
        }
        WorkerRequest workerRequest = new WorkerRequest(
                header(request, Headers.ROUTER),
                header(request, Headers.REQUEST_ID),
                parseIntOrZero(header(request, Headers.ATTEMPT)),
                Route.function(route.model(), route.version()),
                header(request, Headers.IDEMPOTENCY_KEY),
                InferenceBody.workNanos(body));
        HttpServerResponse response = request.response();
        PendingRequest pending = worker.submit(workerRequest, reply -> respond(response, route, reply, body.length()));
        if (pending != null) {
            response.closeHandler(closed -> {
                if (!response.ended()) {
                    pending.cancel();
                }
            });
        } else if (!worker.isUp()) {
            onOverloadCrash.run();
        }
    }

    private boolean cannotRespond(HttpServerResponse response) {
        return response.ended() || response.closed() || hanging;
    }

    private void respond(HttpServerResponse response, Route route, WorkerReply reply, int requestBytes) {
        if (cannotRespond(response)) {
            return;
        }
        if (truncating) {
            response.putHeader("content-length", TRUNCATED_LENGTH)
                    .write("{\"model_name\":")
                    .onComplete(written -> response.reset());
            return;
        }
        response.putHeader(CONTENT_TYPE, JSON_TYPE);
        response.putHeader(Headers.LOAD_REPORT, reply.report().text());
        response.putHeader(Headers.CONCURRENT_REQUESTS, Integer.toString(reply.concurrentRequests()));
        if (reply.instanceState() != null) {
            String state = reply.instanceState().name().toLowerCase(Locale.ROOT).replace('_', '-');
            response.putHeader(Headers.INSTANCE_STATUS, state);
        }
        String model = route.model() + (misnaming ? "-other" : "");
        switch (reply.outcome()) {
            case OK -> response.end(InferenceBody.response(model, requestBytes));
            case ERROR -> response.setStatusCode(500).end(JsonBodies.error("the model failed"));
            case FULL -> reject(response, 503, "full", "full");
            case ABSENT -> reject(response, 404, "absent", "the model is not loaded here");
        }
    }

    /** @param reason value of the header that tells why the request was not executed */
    private static void reject(HttpServerResponse response, int status, String reason, String message) {
        response.setStatusCode(status).putHeader(Headers.NOT_EXECUTED, reason).end(JsonBodies.error(message));
    }

    private void load(HttpServerRequest request, Route route, Buffer body) {
        int instances;
        try {
            instances = JsonBodies.requestedInstances(body.toString());
        } catch (IOException e) {
            request.response().setStatusCode(400).end(JsonBodies.error("the body is not JSON"));
            return;
        }
        worker.loadInstances(
                header(request, Headers.ROUTER),
                route.model(),
                instances,
                reply -> respondToLoad(request.response(), reply));
    }

    private void respondToLoad(HttpServerResponse response, WorkerReply reply) {
        if (cannotRespond(response)) {
            return;
        }
        response.putHeader(Headers.INSTANCES, Integer.toString(reply.readyInstances()));
        switch (reply.outcome()) {
            case OK -> response.end("{}");
            case FULL -> response.setStatusCode(503).end(JsonBodies.error("no room for all"));
            default -> response.setStatusCode(500).end(JsonBodies.error("the load failed"));
        }
    }

    private static String header(HttpServerRequest request, String name) {
        String value = request.getHeader(name);
        return value == null ? "" : value;
    }

    private static int parseIntOrZero(String text) {
        try {
            return Integer.parseInt(text);
        } catch (NumberFormatException e) {
            return 0;
        }
    }
}
