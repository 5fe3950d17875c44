package pearladder.emulator.net;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.http.HttpServer;
import io.vertx.core.http.HttpServerOptions;
import io.vertx.core.http.HttpServerRequest;
import io.vertx.core.http.HttpServerResponse;
import java.util.HashSet;
import java.util.Set;
import java.util.function.BiFunction;
import pearladder.emulator.EndpointRegistry;
import pearladder.kserve.DiscoveryMessage;
import pearladder.kserve.Headers;

/** The stand-in list service: GET /v1/list/watch?from=VERSION stays open and brings a line for each change. */
public final class DiscoveryServer {
    private final Vertx vertx;
    private final EndpointRegistry roll;
    private final BiFunction<String, DiscoveryMessage.Entry, DiscoveryMessage.Entry> reached;
    private final Set<HttpServerResponse> open = new HashSet<>();
    private HttpServer server;
    private int port;

    /** @param reached an entry as a router of that name reaches the engine */
    DiscoveryServer(
            Vertx vertx,
            EndpointRegistry roll,
            BiFunction<String, DiscoveryMessage.Entry, DiscoveryMessage.Entry> reached) {
        this.reached = reached;
        this.vertx = vertx;
        this.roll = roll;
    }

    public int port() {
        return port;
    }

    Future<Void> listen(int wanted) {
        port = wanted;
        server = vertx.createHttpServer(
                        new HttpServerOptions().setHost("127.0.0.1").setPort(port))
                .requestHandler(this::take);
        vertx.setPeriodic(500, tick -> roll.sendHeartbeat());
        return server.listen().map(listening -> {
            port = listening.actualPort();
            return null;
        });
    }

    /** Breaks every connection; routers may come again. */
    public void cut() {
        Set.copyOf(open).forEach(HttpServerResponse::reset);
    }

    private void take(HttpServerRequest request) {
        HttpServerResponse response = request.response();
        if (request.path().equals("/v1/list")) {
            response.end(roll.snapshot().text() + "\n");
            return;
        }
        if (!request.path().equals("/v1/list/watch")) {
            response.setStatusCode(404).end();
            return;
        }
        String router = request.getHeader(Headers.ROUTER);
        String from = request.getParam("from");
        response.setChunked(true);
        open.add(response);
        EndpointRegistry.Watcher watcher = roll.watch(
                router == null ? "" : router,
                from == null || !from.matches("[0-9]{1,18}") ? 0 : Long.parseLong(from),
                line -> response.write(new DiscoveryMessage(
                                        line.kind(),
                                        line.version(),
                                        line.entries().stream()
                                                .map(entry -> reached.apply(router == null ? "" : router, entry))
                                                .toList())
                                .text()
                        + "\n"));
        response.closeHandler(closed -> {
            roll.removeWatcher(watcher);
            open.remove(response);
        });
    }
}
