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
 * The long-lived connection to the list service. When it breaks, falls silent or says something that can't be read, that
 * is told once; when to watch again is for the module to say.
 */
final class EndpointWatch {
    private static final Logger LOG = LoggerFactory.getLogger(EndpointWatch.class);
    private static final int LONGEST_LINE = 64 << 20;

    /** What the connection brings. */
    interface Listener {
        void line(DiscoveryMessage line);

        void failed();
    }

    private final Vertx vertx;
    private final RouterConfig.ListService service;
    private final String router;
    private final Listener listener;
    private final HttpClient client;
    private HttpClientRequest request;
    private int attempt;
    private boolean watching;
    private boolean closed;
    private long silence = -1;
    private long version;

    EndpointWatch(Vertx vertx, RouterConfig.ListService service, String router, Listener listener) {
        this.vertx = vertx;
        this.service = service;
        this.router = router;
        this.listener = listener;
        this.client = vertx.createHttpClient(
                new HttpClientOptions().setKeepAlive(false).setConnectTimeout((int)
                        service.silence().toMillis()));
    }

    /** Watches from the version it has on; does nothing where it watches already. */
    void watch() {
        if (watching || closed) {
            return;
        }
        watching = true;
        int mine = ++attempt;
        heard(mine);
        client.request(new RequestOptions()
                        .setMethod(HttpMethod.GET)
                        .setHost(service.host())
                        .setPort(service.port())
                        .setURI("/v1/list/watch?from=" + version)
                        .putHeader(Headers.ROUTER, router))
                .compose(asked -> {
                    request = asked;
                    return asked.send();
                })
                .onSuccess(response -> read(mine, response))
                .onFailure(unreached -> broke(mine, unreached.getMessage()));
    }

    private void read(int mine, HttpClientResponse response) {
        if (response.statusCode() != 200) {
            broke(mine, "status " + response.statusCode());
            return;
        }
        RecordParser lines =
                RecordParser.newDelimited("\n", line -> line(mine, line)).maxRecordSize(LONGEST_LINE);
        lines.exceptionHandler(tooLong -> broke(mine, tooLong.getMessage()));
        response.handler(lines);
        response.exceptionHandler(broken -> broke(mine, broken.getMessage()));
        response.endHandler(end -> broke(mine, "the service closed it"));
    }

    private void line(int mine, Buffer buffer) {
        if (mine != attempt || !watching) {
            return;
        }
        heard(mine);
        DiscoveryMessage line;
        try {
            line = DiscoveryMessage.parse(buffer.toString());
        } catch (IOException unreadable) {
            broke(mine, "an unreadable line: " + unreadable.getMessage());
            return;
        }
        if (line.kind() != DiscoveryMessage.Kind.BEAT) {
            version = line.version();
            listener.line(line);
        }
    }

    private void heard(int mine) {
        vertx.cancelTimer(silence);
        silence = vertx.setTimer(Math.max(1, service.silence().toMillis()), fired -> broke(mine, "silent"));
    }

    private void broke(int mine, String cause) {
        if (mine != attempt || !watching || closed) {
            return;
        }
        watching = false;
        vertx.cancelTimer(silence);
        if (request != null) {
            request.reset();
            request = null;
        }
        LOG.atWarn().addKeyValue("cause", cause).addKeyValue("version", version).log("the list service is away");
        listener.failed();
    }

    void close() {
        closed = true;
        vertx.cancelTimer(silence);
        client.close();
    }
}
