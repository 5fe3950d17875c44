package pearladder.router.kserve;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.http.HttpClient;
import io.vertx.core.http.HttpClientOptions;
import io.vertx.core.http.HttpClientRequest;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.PoolOptions;
import io.vertx.core.http.RequestOptions;
import pearladder.kserve.DiscoveryMessage;

/**
 * This router's connections to one worker at one address. A connection carries one request at a time. If no connection
 * is available within the connect timeout, nothing was sent.
 */
final class WorkerConnectionPool {
    private static final int UNBOUNDED_QUEUE = -1;

    private final DiscoveryMessage.Entry worker;
    private final Vertx vertx;
    private final RouterConfig.Connections settings;
    private HttpClient client;
    private int requestsInFlight;
    private boolean retired;

    WorkerConnectionPool(Vertx vertx, DiscoveryMessage.Entry worker, RouterConfig.Connections settings) {
        this.vertx = vertx;
        this.worker = worker;
        this.settings = settings;
        this.client = createClient();
    }

    /** Returns whether an entry is of the same process; one that was started later may have the same address. */
    boolean leadsTo(DiscoveryMessage.Entry entry) {
        return worker.port() == entry.port()
                && worker.host().equals(entry.host())
                && worker.startedMillis() == entry.startedMillis();
    }

    private HttpClient createClient() {
        int idleSeconds = (int) Math.max(1, Math.round(settings.idleTimeout().toSeconds()));
        HttpClientOptions clientOptions = new HttpClientOptions()
                .setDefaultHost(worker.host())
                .setDefaultPort(worker.port())
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
                .setHost(worker.host())
                .setPort(worker.port())
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
