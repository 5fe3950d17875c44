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
 * This router's connections to one worker at one address. A connection carries one request at a time. If no connection
 * is available within the connect timeout, nothing was sent.
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
                // Closing resets the connection, so that an abandoned request is not delivered when a network
                // partition ends.
                .setSoLinger(0)
                .setPipelining(false);
        PoolOptions poolOptions =
                new PoolOptions().setHttp1MaxSize(settings.maxPerWorker()).setMaxWaitQueueSize(UNBOUNDED_QUEUE);
        return vertx.createHttpClient(clientOptions, poolOptions);
    }

    /**
     * Acquires a connection for one request, whose end the caller reports with {@link #onRequestEnded}. The future
     * fails if no connection is available within the connect timeout; then nothing was sent.
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

    /** Handles the end of a request that was begun with {@link #request}. */
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

    /** Closes the pool once its requests have ended; no new requests may be begun. */
    void retire() {
        if (!retired) {
            retired = true;
            if (requestsInFlight == 0) {
                client.close();
            }
        }
    }
}
