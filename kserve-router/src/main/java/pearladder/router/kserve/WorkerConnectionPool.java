package pearladder.router.kserve;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.http.HttpClient;
import io.vertx.core.http.HttpClientOptions;
import io.vertx.core.http.HttpClientRequest;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.PoolOptions;
import io.vertx.core.http.RequestOptions;

/**
 * This router's connections to one worker at one address. A connection carries one request at a time. That no
 * connection was had within the connect timeout proves that nothing was sent.
 */
final class WorkerConnectionPool {
    private static final int UNBOUNDED_QUEUE = -1;

    final String host;
    final int port;
    private final Vertx vertx;
    private final RouterConfig.Connections settings;
    private HttpClient client;
    private int requestsInFlight;
    private boolean retired;

    WorkerConnectionPool(Vertx vertx, String host, int port, RouterConfig.Connections settings) {
        this.vertx = vertx;
        this.host = host;
        this.port = port;
        this.settings = settings;
        this.client = createClient();
    }

    private HttpClient createClient() {
        int idleSeconds = (int) Math.max(1, Math.round(settings.idleTimeout().toSeconds()));
        HttpClientOptions clientOptions = new HttpClientOptions()
                .setDefaultHost(host)
                .setDefaultPort(port)
                .setConnectTimeout((int) settings.connectTimeout().toMillis())
                .setKeepAliveTimeout(idleSeconds)
                .setTcpNoDelay(true)
                // Closing resets the connection: a request that was given up must not be delivered later, when a
                // network partition ends.
                .setSoLinger(0)
                .setPipelining(false);
        PoolOptions poolOptions =
                new PoolOptions().setHttp1MaxSize(settings.maxPerWorker()).setMaxWaitQueueSize(UNBOUNDED_QUEUE);
        return vertx.createHttpClient(clientOptions, poolOptions);
    }

    /**
     * A connection for one request, whose end is reported by {@link #onRequestEnded}. The future fails if no
     * connection was had in time, and then nothing was sent.
     */
    Future<HttpClientRequest> request(HttpMethod method, String uri) {
        requestsInFlight++;
        return client.request(new RequestOptions()
                .setMethod(method)
                .setHost(host)
                .setPort(port)
                .setURI(uri)
                .setConnectTimeout(settings.connectTimeout().toMillis()));
    }

    /** A request that was begun by {@link #request} has ended. */
    void onRequestEnded() {
        requestsInFlight--;
        if (retired && requestsInFlight == 0) {
            client.close();
        }
    }

    /** Closes the connections if none is in use. */
    void closeIdle() {
        if (requestsInFlight == 0) {
            client.close();
            client = createClient();
        }
    }

    /** Closes the pool once its requests have ended; no new ones are begun. */
    void retire() {
        if (!retired) {
            retired = true;
            if (requestsInFlight == 0) {
                client.close();
            }
        }
    }
}
