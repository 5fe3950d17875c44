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

/** A discovery service with long polls and several kinds of outage. */
final class SoakDiscovery implements AutoCloseable {
    /** The kinds of outage. */
    enum Outage {
        SILENT,
        REFUSED,
        FAILING,
        /** Sends half of a response, then closes the connection. */
        PARTIAL,
        /** Sends only events that routers have already received. */
        OLD_EVENTS,
        /** Sends responses late and in pieces. */
        SLOW
    }

    private static final long POLL_MILLIS = 20;
    private static final int OLD_EVENTS = 3;
    private static final int PIECES = 8;
    private static final long PIECE_PAUSE_MILLIS = 50;

    private final int port;
    private final List<String> events = new ArrayList<>();
    private final ToldClock clock;
    private HttpServer server;
    private volatile Outage outage;
    private volatile long outageUntil;

    /** @param clock receives each outage */
    SoakDiscovery(List<String> members, ToldClock clock) throws IOException {
        this.clock = clock;
        events.add(event(1, true, String.join(",", members)));
        server = listen(0);
        port = server.getAddress().getPort();
    }

    private HttpServer listen(int at) throws IOException {
        HttpServer listening = HttpServer.create(new InetSocketAddress(InetAddress.getLoopbackAddress(), at), 200);
        listening.setExecutor(Executors.newCachedThreadPool(task -> {
            Thread thread = new Thread(task);
            thread.setDaemon(true);
            return thread;
        }));
        listening.createContext("/v1/events", this::answer);
        listening.start();
        return listening;
    }

    private static String event(int number, boolean full, String members) {
        return "{\"n\":" + number + ",\"members\":{\"version\":" + number + ",\"full\":" + full + ",\"servers\":["
                + members + "]}}";
    }

    int port() {
        return port;
    }

    synchronized void publish(String members) {
        events.add(event(events.size() + 1, false, members));
    }

    /** Publishes the full list of workers as one event. */
    synchronized void publishAll(List<String> members) {
        events.add(event(events.size() + 1, true, String.join(",", members)));
    }

    /** Returns the full list of workers as one event, in the form of {@code known} in the configuration. */
    synchronized String knownAsFullList(List<String> members) {
        int last = events.size();
        return "{\"n\":" + last + ",\"events\":[" + event(last, true, String.join(",", members)) + "]}";
    }

    /** Returns all events published so far, in the form of {@code known} in the configuration. */
    synchronized String known() {
        return response(0, events.size());
    }

    private synchronized String response(int from, int until) {
        int first = Math.min(from, until);
        return "{\"n\":" + until + ",\"events\":[" + String.join(",", events.subList(first, until)) + "]}";
    }

    private synchronized int lastNumber() {
        return events.size();
    }

    boolean isInOutage() {
        return System.nanoTime() < outageUntil;
    }

    /** Starts an outage that ends after the given time; does nothing during an outage. */
    void startOutage(Outage kind, long millis) throws IOException {
        if (isInOutage()) {
            return;
        }
        long now = System.nanoTime();
        outage = kind;
        outageUntil = now + millis * 1_000_000;
        clock.onOutage(now, outageUntil);
        if (kind == Outage.REFUSED) {
            server.stop(0);
            Background.run(() -> {
                Thread.sleep(millis);
                server = listen(port);
            });
        }
    }

    private void answer(HttpExchange exchange) throws IOException {
        String query = exchange.getRequestURI().getQuery();
        int from = Integer.parseInt(query.replaceAll("SUB=([0-9]+).*", "$1"));
        long wait = Long.parseLong(query.replaceAll(".*wait=([0-9]+).*", "$1"));
        long until = System.nanoTime() + wait * 1_000_000;
        try {
            while (isInOutage() && outage == Outage.SILENT || lastNumber() <= from && System.nanoTime() < until) {
                Thread.sleep(POLL_MILLIS);
            }
        } catch (InterruptedException stopped) {
            Thread.currentThread().interrupt();
        }
        if (isInOutage()) {
            answerInOutage(exchange, from);
        } else {
            write(exchange, 200, response(from, lastNumber()));
        }
    }

    private void answerInOutage(HttpExchange exchange, int from) throws IOException {
        switch (outage) {
            case PARTIAL -> {
                byte[] half = "{\"n\":99,\"events\":[{\"n\":99,\"mem".getBytes(StandardCharsets.UTF_8);
                exchange.sendResponseHeaders(200, 2L * half.length);
                exchange.getResponseBody().write(half);
                exchange.close();
            }
            case OLD_EVENTS -> {
                int known = Math.min(from, lastNumber());
                pause(5 * POLL_MILLIS);
                write(exchange, 200, response(Math.max(0, known - OLD_EVENTS), known));
            }
            case SLOW -> writeInPieces(exchange, response(from, lastNumber()));
            default -> write(exchange, 503, "{}");
        }
    }

    private static void writeInPieces(HttpExchange exchange, String text) throws IOException {
        byte[] body = text.getBytes(StandardCharsets.UTF_8);
        exchange.sendResponseHeaders(200, body.length);
        int length = body.length / PIECES + 1;
        for (int from = 0; from < body.length; from += length) {
            pause(PIECE_PAUSE_MILLIS);
            exchange.getResponseBody().write(body, from, Math.min(length, body.length - from));
            exchange.getResponseBody().flush();
        }
        exchange.close();
    }

    private static void pause(long millis) {
        try {
            Thread.sleep(millis);
        } catch (InterruptedException stopped) {
            Thread.currentThread().interrupt();
        }
    }

    private static void write(HttpExchange exchange, int status, String text) throws IOException {
        byte[] body = text.getBytes(StandardCharsets.UTF_8);
        exchange.sendResponseHeaders(status, body.length);
        exchange.getResponseBody().write(body);
        exchange.close();
    }

    @Override
    public void close() {
        server.stop(0);
    }
}
