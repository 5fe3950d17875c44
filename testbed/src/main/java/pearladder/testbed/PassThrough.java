package pearladder.testbed;

import io.vertx.core.Vertx;
import io.vertx.core.VertxOptions;
import io.vertx.core.http.HttpClient;
import io.vertx.core.http.HttpClientOptions;
import io.vertx.core.http.HttpClientRequest;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.HttpServer;
import io.vertx.core.http.HttpServerOptions;
import io.vertx.core.http.HttpServerRequest;
import io.vertx.core.http.PoolOptions;
import java.util.List;

/**
 * A minimal proxy that serves as the baseline for router measurements: buffers each request, forwards it to its targets
 * round robin, and returns the buffered response. Uses one event loop and has no routing decisions, discovery or
 * timeouts.
 */
public final class PassThrough {
    private static final String HOST = "127.0.0.1";
    private static final int MAX_CONNECTIONS = 256;
    private static final int BAD_GATEWAY = 502;

    private final HttpClient client;
    private final List<Integer> targets;
    private int nextTarget;

    private PassThrough(Vertx vertx, List<Integer> targets) {
        this.targets = targets;
        this.client = vertx.createHttpClient(
                new HttpClientOptions().setTcpNoDelay(true), new PoolOptions().setHttp1MaxSize(MAX_CONNECTIONS));
    }

    /**
     * Starts a proxy that runs until the process ends.
     *
     * @param targets loopback ports of the targets
     * @return the port on which the proxy listens
     */
    public static int start(List<Integer> targets) {
        Vertx vertx = Vertx.vertx(new VertxOptions().setEventLoopPoolSize(1));
        PassThrough proxy = new PassThrough(vertx, targets);
        return vertx.createHttpServer(
                        new HttpServerOptions().setHost(HOST).setPort(0).setTcpNoDelay(true))
                .requestHandler(proxy::forward)
                .listen()
                .map(HttpServer::actualPort)
                .toCompletionStage()
                .toCompletableFuture()
                .join();
    }

    private void forward(HttpServerRequest request) {
        request.body()
                .compose(body -> client.request(
                                HttpMethod.POST, targets.get(nextTarget++ % targets.size()), HOST, request.uri())
                        .compose((HttpClientRequest forwarded) -> forwarded.send(body)))
                .compose(response -> response.body().map(body -> {
                    request.response().setStatusCode(response.statusCode()).end(body);
                    return null;
                }))
                .onFailure(
                        failure -> request.response().setStatusCode(BAD_GATEWAY).end());
    }
}
