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
 * A baseline that the router is measured against: takes a request whole, hands it to the next of its targets in turn,
 * and hands the answer back whole. One event loop, no decision, no list, no time-out.
 */
public final class PassThrough {
    private final HttpClient client;
    private final List<Integer> targets;
    private int turn;

    private PassThrough(Vertx vertx, List<Integer> targets) {
        this.targets = targets;
        this.client = vertx.createHttpClient(
                new HttpClientOptions().setTcpNoDelay(true), new PoolOptions().setHttp1MaxSize(256));
    }

    /** Starts one and returns its port; it runs until the process ends. */
    public static int start(List<Integer> targets) {
        Vertx vertx = Vertx.vertx(new VertxOptions().setEventLoopPoolSize(1));
        PassThrough through = new PassThrough(vertx, targets);
        return vertx.createHttpServer(
                        new HttpServerOptions().setHost("127.0.0.1").setPort(0).setTcpNoDelay(true))
                .requestHandler(through::take)
                .listen()
                .map(HttpServer::actualPort)
                .toCompletionStage()
                .toCompletableFuture()
                .join();
    }

    private void take(HttpServerRequest request) {
        request.body()
                .compose(body -> client.request(
                                HttpMethod.POST, targets.get(turn++ % targets.size()), "127.0.0.1", request.uri())
                        .compose((HttpClientRequest to) -> to.send(body)))
                .compose(response -> response.body().map(body -> {
                    request.response().setStatusCode(response.statusCode()).end(body);
                    return null;
                }))
                .onFailure(broken -> request.response().setStatusCode(502).end());
    }
}
