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

/** Tells the list of workers by long polls, and counts the bytes of its responses. */
final class StandInDiscovery implements AutoCloseable {
    private static final int BACKLOG = 50;
    private static final int HTTP_OK = 200;
    private static final long POLL_MILLIS = 10;

    private final HttpServer server;
    private final List<String> events = new ArrayList<>();
    private final AtomicLong bytes = new AtomicLong();

    /** @param members the whole list, which is the first event */
    StandInDiscovery(List<String> members) throws IOException {
        add(true, members);
        server = HttpServer.create(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), BACKLOG);
        server.setExecutor(Executors.newCachedThreadPool(task -> {
            Thread thread = new Thread(task, "stand-in discovery");
            thread.setDaemon(true);
            return thread;
        }));
        server.createContext("/v1/events", this::answer);
        server.start();
    }

    int port() {
        return server.getAddress().getPort();
    }

    /** Bytes of the responses so far. */
    long bytes() {
        return bytes.get();
    }

    /** Tells changes. */
    void tell(List<String> members) {
        add(false, members);
    }

    private synchronized void add(boolean whole, List<String> members) {
        int number = events.size() + 1;
        events.add("{\"n\":" + number + ",\"members\":{\"version\":" + number + ",\"full\":" + whole + ",\"servers\":["
                + String.join(",", members) + "]}}");
    }

    /** The events up to now, as a configuration holds them. */
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

    private void answer(HttpExchange exchange) throws IOException {
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
