package pearladder.cli;

import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.Executors;
import pearladder.cli.PlatformDiscoveryOutageTest.Outage;

/** A discovery service without events, with several kinds of outage. */
final class OutageDiscovery implements AutoCloseable {
    /** Longer than the test, so that a silent service never responds. */
    private static final long SILENCE_MILLIS = 120_000;

    private final HttpServer server;
    private volatile Outage outage;

    OutageDiscovery() throws IOException {
        server = HttpServer.create(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), 200);
        server.setExecutor(Executors.newCachedThreadPool(task -> {
            Thread thread = new Thread(task);
            thread.setDaemon(true);
            return thread;
        }));
        server.createContext("/v1/events", this::answer);
        server.start();
    }

    int port() {
        return server.getAddress().getPort();
    }

    void startOutage(Outage kind) {
        outage = kind;
        if (kind == Outage.REFUSED) {
            server.stop(0);
        }
    }

    private void answer(HttpExchange exchange) throws IOException {
        String query = exchange.getRequestURI().getQuery();
        sleep(Long.parseLong(query.replaceAll(".*wait=([0-9]+).*", "$1")));
        if (outage == Outage.SILENT) {
            sleep(SILENCE_MILLIS);
        }
        byte[] body = ("{\"n\":" + query.replaceAll("SUB=([0-9]+).*", "$1") + ",\"events\":[]}")
                .getBytes(StandardCharsets.UTF_8);
        exchange.sendResponseHeaders(outage == Outage.FAILING ? 503 : 200, body.length);
        exchange.getResponseBody().write(body);
        exchange.close();
    }

    private static void sleep(long millis) {
        try {
            Thread.sleep(millis);
        } catch (InterruptedException stopped) {
            Thread.currentThread().interrupt();
        }
    }

    @Override
    public void close() {
        server.stop(0);
    }
}
