package pearladder.cli.soak;

import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Executors;

/** A discovery service with long polls that can fall silent. */
final class SoakDiscovery implements AutoCloseable {
    private static final long POLL_MILLIS = 20;

    private final HttpServer server;
    private final List<String> events = new ArrayList<>();
    private volatile long silentUntil;

    SoakDiscovery(List<String> members) throws IOException {
        events.add(event(1, true, String.join(",", members)));
        server = HttpServer.create(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), 200);
        server.setExecutor(Executors.newCachedThreadPool(task -> {
            Thread thread = new Thread(task);
            thread.setDaemon(true);
            return thread;
        }));
        server.createContext("/v1/events", this::answer);
        server.start();
    }

    private static String event(int number, boolean full, String members) {
        return "{\"n\":" + number + ",\"members\":{\"version\":" + number + ",\"full\":" + full + ",\"servers\":["
                + members + "]}}";
    }

    int port() {
        return server.getAddress().getPort();
    }

    synchronized void tell(String member) {
        events.add(event(events.size() + 1, false, member));
    }

    /** All that was told so far, as a configuration holds it. */
    synchronized String known() {
        return "{\"n\":" + events.size() + ",\"events\":[" + String.join(",", events) + "]}";
    }

    private synchronized String after(int number) {
        return "{\"n\":" + events.size() + ",\"events\":["
                + String.join(",", events.subList(Math.min(number, events.size()), events.size())) + "]}";
    }

    private synchronized int lastNumber() {
        return events.size();
    }

    void fallSilent(long millis) {
        silentUntil = System.nanoTime() + millis * 1_000_000;
    }

    private void answer(HttpExchange exchange) throws IOException {
        String query = exchange.getRequestURI().getQuery();
        int from = Integer.parseInt(query.replaceAll("SUB=([0-9]+).*", "$1"));
        long wait = Long.parseLong(query.replaceAll(".*wait=([0-9]+).*", "$1"));
        long until = System.nanoTime() + wait * 1_000_000;
        try {
            while (System.nanoTime() < silentUntil || lastNumber() <= from && System.nanoTime() < until) {
                Thread.sleep(POLL_MILLIS);
            }
        } catch (InterruptedException stopped) {
            Thread.currentThread().interrupt();
        }
        byte[] body = after(from).getBytes(StandardCharsets.UTF_8);
        exchange.sendResponseHeaders(200, body.length);
        exchange.getResponseBody().write(body);
        exchange.close();
    }

    @Override
    public void close() {
        server.stop(0);
    }
}
