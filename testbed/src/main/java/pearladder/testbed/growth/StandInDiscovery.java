package pearladder.testbed.growth;

import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Executors;
import java.util.concurrent.atomic.AtomicLong;

/** Serves the list of workers by long polling, and counts the bytes of its responses. */
final class StandInDiscovery implements AutoCloseable {
    private static final int BACKLOG = 50;
    private static final int HTTP_OK = 200;
    private static final long POLL_MILLIS = 10;

    private final HttpServer server;
    private final List<String> events = new ArrayList<>();
    private final AtomicLong bytes = new AtomicLong();

    /** @param members the complete list of workers, published as the first event */
    StandInDiscovery(List<String> members) throws IOException {
        add(true, members);
        server = HttpServer.create(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), BACKLOG);
        server.setExecutor(Executors.newCachedThreadPool(task -> {
            Thread thread = new Thread(task, "stand-in discovery");
            thread.setDaemon(true);
            return thread;
        }));
        server.createContext("/v1/events", this::respond);
        server.start();
    }

    int port() {
        return server.getAddress().getPort();
    }

    /** Returns the total bytes of the responses so far. */
    long bytes() {
        return bytes.get();
    }

    /** Publishes an event with the changed members. */
    void publishChanges(List<String> members) {
        add(false, members);
    }

    private synchronized void add(boolean full, List<String> members) {
        int number = events.size() + 1;
        events.add("{\"n\":" + number + ",\"members\":{\"version\":" + number + ",\"full\":" + full + ",\"servers\":["
                + String.join(",", members) + "]}}");
    }

    /** Returns the events so far in the format of the router configuration. */
    synchronized String known() {
        return eventsAfter(0);
    }

    private synchronized String eventsAfter(int number) {
        int first = Math.min(number, events.size());
        return "{\"n\":" + events.size() + ",\"events\":[" + String.join(",", events.subList(first, events.size()))
                + "]}";
    }

    private synchronized int lastNumber() {
        return events.size();
    }

    private void respond(HttpExchange exchange) throws IOException {
        String query = exchange.getRequestURI().getQuery();
        int from = Integer.parseInt(query.replaceAll("SUB=([0-9]+).*", "$1"));
        long waitMillis = Long.parseLong(query.replaceAll(".*wait=([0-9]+).*", "$1"));
        long until = System.nanoTime() + waitMillis * 1_000_000;
        try {
            while (lastNumber() <= from && System.nanoTime() < until) {
                Thread.sleep(POLL_MILLIS);
            }
        } catch (InterruptedException stopped) {
            Thread.currentThread().interrupt();
        }
        byte[] body = eventsAfter(from).getBytes(StandardCharsets.UTF_8);
        bytes.addAndGet(body.length);
        exchange.sendResponseHeaders(HTTP_OK, body.length);
        exchange.getResponseBody().write(body);
        exchange.close();
    }

    @Override
    public void close() {
        server.stop(0);
    }
}
