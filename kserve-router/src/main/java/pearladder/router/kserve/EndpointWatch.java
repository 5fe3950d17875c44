package pearladder.router.kserve;

import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClient;
import io.vertx.core.http.HttpClientOptions;
import io.vertx.core.http.HttpClientRequest;
import io.vertx.core.http.HttpClientResponse;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.RequestOptions;
import io.vertx.core.parsetools.RecordParser;
import java.io.IOException;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import pearladder.kserve.DiscoveryMessage;
import pearladder.kserve.Headers;

/**
 * The long-lived connection to the discovery service. A connection that fails, reaches the silence timeout or delivers
 * a malformed message is closed and reported once; the routing policy decides when to reconnect.
 */
final class EndpointWatch {
    private static final Logger LOG = LoggerFactory.getLogger(EndpointWatch.class);
    private static final int MAX_MESSAGE_BYTES = 64 << 20;
    private static final int OK = 200;
    private static final long NO_TIMER = -1;

    /** Receives the messages of the discovery service and the end of the connection. */
    interface Listener {
        void onMessage(DiscoveryMessage message);

        /** Called after each message or heartbeat; everything that the service sent before it has been received. */
        void onMessageOrHeartbeat();

        void onDisconnected();
    }

    private final Vertx vertx;
    private final RouterConfig.DiscoveryService service;
    private final String routerName;
    private final Listener listener;
    private final HttpClient client;
    private HttpClientRequest request;
    /** The number of the current connection; callbacks of earlier ones are ignored. */
    private int connectionNumber;

    private boolean watching;
    private boolean closed;
    private long silenceTimer = NO_TIMER;
    private long version;

    EndpointWatch(Vertx vertx, RouterConfig.DiscoveryService service, String routerName, Listener listener) {
        this.vertx = vertx;
        this.service = service;
        this.routerName = routerName;
        this.listener = listener;
        this.client = vertx.createHttpClient(
                new HttpClientOptions().setKeepAlive(false).setConnectTimeout((int)
                        service.silenceTimeout().toMillis()));
    }

    /** Connects and watches from the last received version on; has no effect while a watch is open. */
    void watch() {
        if (watching || closed) {
            return;
        }
        watching = true;
        int connection = ++connectionNumber;
        restartSilenceTimer(connection);
        client.request(new RequestOptions()
                        .setMethod(HttpMethod.GET)
                        .setHost(service.host())
                        .setPort(service.port())
                        .setURI("/v1/list/watch?from=" + version)
                        .putHeader(Headers.ROUTER, routerName))
                .compose(connected -> {
                    request = connected;
                    return connected.send();
                })
                .onSuccess(response -> readMessages(connection, response))
                .onFailure(failure -> disconnect(connection, failure.getMessage()));
    }

    private void readMessages(int connection, HttpClientResponse response) {
        if (response.statusCode() != OK) {
            disconnect(connection, "status " + response.statusCode());
            return;
        }
        RecordParser lines = RecordParser.newDelimited("\n", line -> onLine(connection, line))
                .maxRecordSize(MAX_MESSAGE_BYTES);
        lines.exceptionHandler(failure -> disconnect(connection, failure.getMessage()));
        response.handler(lines);
        response.exceptionHandler(failure -> disconnect(connection, failure.getMessage()));
        response.endHandler(end -> disconnect(connection, "the discovery service closed the connection"));
    }

    private void onLine(int connection, Buffer line) {
        if (!isCurrent(connection)) {
            return;
        }
        restartSilenceTimer(connection);
        DiscoveryMessage message;
        try {
            message = DiscoveryMessage.parse(line.toString());
        } catch (IOException unreadable) {
            disconnect(connection, "malformed message: " + unreadable.getMessage());
            return;
        }
        if (message.kind() != DiscoveryMessage.Kind.BEAT) {
            version = message.version();
            listener.onMessage(message);
        }
        listener.onMessageOrHeartbeat();
    }

    private boolean isCurrent(int connection) {
        return connection == connectionNumber && watching;
    }

    private void restartSilenceTimer(int connection) {
        vertx.cancelTimer(silenceTimer);
        long millis = Math.max(1, service.silenceTimeout().toMillis());
        silenceTimer = vertx.setTimer(
                millis, timerId -> disconnect(connection, "nothing received within the silence timeout"));
    }

    private void disconnect(int connection, String cause) {
        if (!isCurrent(connection) || closed) {
            return;
        }
        watching = false;
        vertx.cancelTimer(silenceTimer);
        if (request != null) {
            request.reset();
            request = null;
        }
        LOG.atWarn()
                .addKeyValue("cause", cause)
                .addKeyValue("version", version)
                .log("disconnected from the discovery service");
        listener.onDisconnected();
    }

    void close() {
        closed = true;
        vertx.cancelTimer(silenceTimer);
        client.close();
    }
}
