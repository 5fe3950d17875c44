package pearladder.router.kserve;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClient;
import io.vertx.core.http.HttpClientOptions;
import io.vertx.core.http.HttpClientRequest;
import io.vertx.core.http.HttpClientResponse;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.PoolOptions;
import io.vertx.core.http.RequestOptions;
import java.util.function.BiConsumer;
import java.util.function.Consumer;

/**
 * This router's connections to one engine at one address. A connection carries one call at a time; one that can't be had
 * within the dial time is a failure that proves that nothing left.
 */
final class WorkerConnectionPool {
    final String host;
    final int port;
    private final Vertx vertx;
    private final RouterConfig.Connections terms;
    private HttpClient client;
    private int out;
    private boolean retired;

    WorkerConnectionPool(Vertx vertx, String host, int port, RouterConfig.Connections terms) {
        this.vertx = vertx;
        this.host = host;
        this.port = port;
        this.terms = terms;
        this.client = client();
    }

    private HttpClient client() {
        return vertx.createHttpClient(
                new HttpClientOptions()
                        .setDefaultHost(host)
                        .setDefaultPort(port)
                        .setConnectTimeout((int) terms.dial().toMillis())
                        .setKeepAliveTimeout(
                                (int) Math.max(1, Math.round(terms.idle().toSeconds())))
                        // a leg that is given up must not leave this machine later, when a cut is mended: closing
                        // resets
                        .setTcpNoDelay(true)
                        .setSoLinger(0)
                        .setPipelining(false),
                new PoolOptions().setHttp1MaxSize(terms.perEngine()).setMaxWaitQueueSize(-1));
    }

    /** A connection for one request; the future fails if none was had in time, and then nothing was sent. */
    Future<HttpClientRequest> request(HttpMethod method, String uri) {
        out++;
        return client.request(new RequestOptions()
                .setMethod(method)
                .setHost(host)
                .setPort(port)
                .setURI(uri)
                .setConnectTimeout(terms.dial().toMillis()));
    }

    /** What was asked for by {@link #request} has ended. */
    void ended() {
        out--;
        if (retired && out == 0) {
            client.close();
        }
    }

    /** Closes connections that carry nothing; those in use are closed when they are done. */
    void closeIdle() {
        if (out == 0) {
            client.close();
            client = client();
        }
    }

    /** Nothing more will be sent here. */
    void retire() {
        if (!retired) {
            retired = true;
            if (out == 0) {
                client.close();
            }
        }
    }

    /** Reads an answer whole, up to a limit; half an answer and one past the limit are failures. */
    static void read(
            HttpClientResponse response,
            long limit,
            BiConsumer<HttpClientResponse, Buffer> whole,
            Consumer<Throwable> failed) {
        Buffer body = Buffer.buffer();
        boolean[] over = {false};
        response.exceptionHandler(broken -> {
            if (!over[0]) {
                over[0] = true;
                failed.accept(broken);
            }
        });
        response.handler(part -> {
            if (over[0]) {
                return;
            }
            if (body.length() + (long) part.length() > limit) {
                over[0] = true;
                response.request().reset();
                failed.accept(new IllegalStateException("an answer of more than " + limit + " bytes"));
            } else {
                body.appendBuffer(part);
            }
        });
        response.endHandler(end -> {
            if (!over[0]) {
                over[0] = true;
                whole.accept(response, body);
            }
        });
    }
}
