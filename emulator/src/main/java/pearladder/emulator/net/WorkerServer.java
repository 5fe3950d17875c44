package pearladder.emulator.net;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpServer;
import io.vertx.core.http.HttpServerOptions;
import io.vertx.core.http.HttpServerRequest;
import io.vertx.core.http.HttpServerResponse;
import java.io.IOException;
import java.util.Locale;
import pearladder.emulator.PendingRequest;
import pearladder.emulator.WorkerModel;
import pearladder.emulator.WorkerReply;
import pearladder.emulator.WorkerRequest;
import pearladder.kserve.Headers;
import pearladder.kserve.JsonBodies;
import pearladder.kserve.Route;

/** One stand-in engine on a loopback port, speaking KServe v2 with the model repository extension. */
public final class WorkerServer {
    private static final JsonFactory JSON = new JsonFactory();

    private final Vertx vertx;
    private final WorkerModel engine;
    private final Runnable fell;
    private HttpServer server;
    private int port;
    private boolean hung;
    private boolean garbling;
    private boolean misnaming;

    /** @param fell what else happens when the engine falls over */
    WorkerServer(Vertx vertx, WorkerModel engine, Runnable fell) {
        this.vertx = vertx;
        this.fell = fell;
        this.engine = engine;
    }

    public WorkerModel engine() {
        return engine;
    }

    public int port() {
        return port;
    }

    /** Accepts and reads, and never answers. */
    public void hang(boolean on) {
        hung = on;
    }

    /** Answers with half an answer and then breaks the connection. */
    public void garble(boolean on) {
        garbling = on;
    }

    /** Answers for another model than it was asked for. */
    public void misname(boolean on) {
        misnaming = on;
    }

    Future<Void> listen() {
        HttpServerOptions options = new HttpServerOptions()
                .setHost("127.0.0.1")
                .setPort(port)
                .setReuseAddress(true)
                .setIdleTimeout(120);
        server = vertx.createHttpServer(options).requestHandler(this::take);
        return server.listen().map(listening -> {
            port = listening.actualPort();
            return null;
        });
    }

    /** The process dies: every connection breaks. */
    Future<Void> die() {
        engine.crash();
        hung = false;
        return server == null ? Future.succeededFuture() : server.close();
    }

    private void take(HttpServerRequest request) {
        if (hung || !engine.isUp()) {
            return;
        }
        Route route = Route.of(request.path());
        switch (route.kind()) {
            case INFER -> request.body().onSuccess(body -> infer(request, route, body));
            case LOAD -> request.body().onSuccess(body -> load(request, route, body));
            case UNLOAD -> {
                engine.unload(route.model());
                request.response().end("{}");
            }
            case INDEX -> request.response()
                    .putHeader("content-type", "application/json")
                    .end(JsonBodies.index(engine.index().stream()
                            .map(copy -> new JsonBodies.Indexed(copy.getKey(), copy.getValue() ? "READY" : "LOADING"))
                            .toList()));
            case LIVE, READY -> request.response()
                    .putHeader(Headers.REPORT, engine.report().text())
                    .end();
            default -> request.response().setStatusCode(404).end(JsonBodies.error("not served by this stand-in"));
        }
    }

    private void infer(HttpServerRequest request, Route route, Buffer body) {
        if (hung || !engine.isUp()) {
            return;
        }
        WorkerRequest asked = new WorkerRequest(
                header(request, Headers.ROUTER),
                header(request, Headers.CALL),
                number(header(request, Headers.LEG)),
                Route.function(route.model(), route.version()),
                header(request, Headers.MARK),
                work(body));
        HttpServerResponse response = request.response();
        PendingRequest held = engine.submit(asked, answer -> answer(response, route, answer, body.length()));
        if (held != null) {
            response.closeHandler(closed -> {
                if (!response.ended()) {
                    held.cancel();
                }
            });
        } else if (!engine.isUp()) {
            fell.run();
        }
    }

    private void answer(HttpServerResponse response, Route route, WorkerReply answer, int size) {
        if (response.ended() || response.closed() || hung) {
            return;
        }
        if (garbling) {
            response.putHeader("content-length", "1000")
                    .write("{\"model_name\":")
                    .onComplete(half -> response.reset());
            return;
        }
        response.putHeader("content-type", "application/json");
        response.putHeader(Headers.REPORT, answer.report().text());
        response.putHeader(Headers.CROWD, Integer.toString(answer.concurrentRequests()));
        if (answer.instanceState() != null) {
            response.putHeader(
                    Headers.COPY,
                    answer.instanceState().name().toLowerCase(Locale.ROOT).replace('_', '-'));
        }
        switch (answer.outcome()) {
            case OK -> response.end("{\"model_name\":\"" + route.model() + (misnaming ? "-other" : "")
                    + "\",\"outputs\":[{\"name\":\"size\"," + "\"datatype\":\"INT64\",\"shape\":[1],\"data\":[" + size
                    + "]}]}");
            case ERROR -> response.setStatusCode(500).end(JsonBodies.error("the model failed"));
            case FULL -> response.setStatusCode(503)
                    .putHeader(Headers.NEVER_RAN, "full")
                    .end(JsonBodies.error("full"));
            case ABSENT -> response.setStatusCode(404)
                    .putHeader(Headers.NEVER_RAN, "absent")
                    .end(JsonBodies.error("the model is not loaded here"));
        }
    }

    private void load(HttpServerRequest request, Route route, Buffer body) {
        int copies;
        try {
            copies = JsonBodies.copies(body.toString());
        } catch (IOException malformed) {
            request.response().setStatusCode(400).end(JsonBodies.error("the body is not JSON"));
            return;
        }
        engine.loadInstances(header(request, Headers.ROUTER), route.model(), copies, answer -> {
            HttpServerResponse response = request.response();
            if (response.ended() || response.closed() || hung) {
                return;
            }
            response.putHeader(Headers.COPIES, Integer.toString(answer.readyInstances()));
            switch (answer.outcome()) {
                case OK -> response.end("{}");
                case FULL -> response.setStatusCode(503).end(JsonBodies.error("no room for all"));
                default -> response.setStatusCode(500).end(JsonBodies.error("the load failed"));
            }
        });
    }

    private static String header(HttpServerRequest request, String name) {
        String value = request.getHeader(name);
        return value == null ? "" : value;
    }

    private static int number(String text) {
        try {
            return Integer.parseInt(text);
        } catch (NumberFormatException none) {
            return 0;
        }
    }

    /** The work that a stand-in's client asks for, in parameters.work_ms; 0 where it asks for none. */
    private static long work(Buffer body) {
        try (JsonParser json = JSON.createParser(body.getBytes())) {
            JsonToken token;
            while ((token = json.nextToken()) != null) {
                if (token == JsonToken.FIELD_NAME && json.currentName().equals("inputs")) {
                    return 0;
                }
                if (token == JsonToken.FIELD_NAME && json.currentName().equals("work_ms")) {
                    json.nextToken();
                    return Math.round(json.getDoubleValue() * 1e6);
                }
            }
        } catch (IOException malformed) {
            return 0;
        }
        return 0;
    }
}
