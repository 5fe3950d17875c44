package pearladder.emulator.net;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.http.HttpServer;
import io.vertx.core.http.HttpServerOptions;
import io.vertx.core.http.HttpServerRequest;
import io.vertx.core.http.HttpServerResponse;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.function.BiFunction;
import pearladder.emulator.EndpointRegistry;
import pearladder.kserve.DiscoveryMessage;
import pearladder.kserve.Headers;

/**
 * The HTTP server of the discovery service. GET /v1/list returns the whole endpoint list; GET
 * /v1/list/watch?from=VERSION streams one line for each message.
 */
public final class DiscoveryServer {
    private static final String LIST_PATH = "/v1/list";
    private static final String WATCH_PATH = "/v1/list/watch";
    private static final long HEARTBEAT_MILLIS = 500;

    private final Vertx vertx;
    private final EndpointRegistry registry;
    private final BiFunction<String, DiscoveryMessage.Entry, DiscoveryMessage.Entry> addressRewriter;
    private final Set<HttpServerResponse> openWatches = new HashSet<>();
    private int port;

    /** @param addressRewriter returns an entry with the address at which the named router reaches the worker */
    DiscoveryServer(
            Vertx vertx,
            EndpointRegistry registry,
            BiFunction<String, DiscoveryMessage.Entry, DiscoveryMessage.Entry> addressRewriter) {
        this.vertx = vertx;
        this.registry = registry;
        this.addressRewriter = addressRewriter;
    }

    /** Returns the port that the server listens on. */
    public int port() {
        return port;
    }

    /** @param wantedPort port to listen on, or 0 for one that the system assigns */
    Future<Void> listen(int wantedPort) {
        HttpServerOptions options = new HttpServerOptions().setHost("127.0.0.1").setPort(wantedPort);
        HttpServer server = vertx.createHttpServer(options).requestHandler(this::handle);
        vertx.setPeriodic(HEARTBEAT_MILLIS, timer -> registry.sendHeartbeat());
        return server.listen()
                .onSuccess(listening -> port = listening.actualPort())
                .mapEmpty();
    }

    /** Resets the connections of all watches; routers may reconnect. */
    public void resetWatches() {
        Set.copyOf(openWatches).forEach(HttpServerResponse::reset);
    }

    private void handle(HttpServerRequest request) {
        switch (request.path()) {
            case LIST_PATH -> request.response().end(registry.snapshot().toJson() + "\n");
            case WATCH_PATH -> watch(request);
            default -> request.response().setStatusCode(404).end();
        }
    }

    private void watch(HttpServerRequest request) {
        String header = request.getHeader(Headers.ROUTER);
        String router = header == null ? "" : header;
        HttpServerResponse response = request.response();
        response.setChunked(true);
        openWatches.add(response);
        EndpointRegistry.Watcher watcher = registry.watch(
                router,
                parseVersion(request.getParam("from")),
                message -> response.write(addressedFor(router, message).toJson() + "\n"));
        response.closeHandler(closed -> {
            registry.removeWatcher(watcher);
            openWatches.remove(response);
        });
    }

    /** Parses the version of a router's endpoint list; 0 if it is missing or malformed. */
    private static long parseVersion(String from) {
        return from == null || !from.matches("[0-9]{1,18}") ? 0 : Long.parseLong(from);
    }

    private DiscoveryMessage addressedFor(String router, DiscoveryMessage message) {
        List<DiscoveryMessage.Entry> entries = message.entries().stream()
                .map(entry -> addressRewriter.apply(router, entry))
                .toList();
        return new DiscoveryMessage(message.kind(), message.version(), entries);
    }
}
