import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Executors;

/** The control feed: numbered events, told by long polls. */
final class Feed implements AutoCloseable {
    private final HttpServer server;
    private final List<String> events;
    private volatile boolean silent;

    Feed(List<String> events) throws IOException {
        this.events = events;
        server = HttpServer.create(new InetSocketAddress(InetAddress.getByName("127.0.0.1"), 0), 1024);
        server.setExecutor(Executors.newCachedThreadPool(task -> {
            Thread thread = new Thread(task, "feed");
            thread.setDaemon(true);
            return thread;
        }));
        server.createContext("/v1/events", this::answer);
        server.start();
    }

    /** Returns a list of events in which the first holds the whole list of workers. */
    static List<String> start(List<String> members) {
        List<String> events = new ArrayList<>();
        events.add(event(1, true, members));
        return events;
    }

    private static String event(int number, boolean full, List<String> members) {
        return "{\"n\":" + number + ",\"members\":{\"version\":" + (6 + number) + ",\"full\":" + full + ",\"servers\":["
                + String.join(",", members) + "]}}";
    }

    int port() {
        return server.getAddress().getPort();
    }

    /** Adds a change; from now on it counts as told. */
    void tell(String... members) {
        synchronized (events) {
            events.add(event(events.size() + 1, false, List.of(members)));
            events.notifyAll();
        }
    }

    /** Accepts connections, but answers nothing while it is silent. */
    void silence(boolean on) {
        synchronized (events) {
            silent = on;
            events.notifyAll();
        }
    }

    /** Returns the list of events, which another feed may continue. */
    List<String> events() {
        return events;
    }

    /** Returns the events so far in the form of the configuration. */
    String known() {
        synchronized (events) {
            return "{\"n\":" + events.size() + ",\"events\":[" + String.join(",", events) + "]}";
        }
    }

    private void answer(HttpExchange exchange) throws IOException {
        String query = exchange.getRequestURI().getQuery();
        int last = Integer.parseInt(query.replaceAll("SUB=([0-9]+).*", "$1"));
        long until = System.nanoTime() + Long.parseLong(query.replaceAll(".*wait=([0-9]+)", "$1")) * 1_000_000;
        String text;
        synchronized (events) {
            while (events.size() <= last || silent) {
                long millis = silent ? 1000 : (until - System.nanoTime()) / 1_000_000;
                if (millis <= 0) {
                    break;
                }
                try {
                    events.wait(millis);
                } catch (InterruptedException stopped) {
                    return;
                }
            }
            List<String> later = events.subList(Math.min(last, events.size()), events.size());
            text = "{\"n\":" + events.size() + ",\"events\":[" + String.join(",", later) + "]}";
        }
        byte[] bytes = text.getBytes(StandardCharsets.UTF_8);
        exchange.sendResponseHeaders(200, bytes.length);
        exchange.getResponseBody().write(bytes);
        exchange.close();
    }

    @Override
    public void close() {
        server.stop(0);
    }
}
