package pearladder.cli.soak;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import pearladder.cli.WorkerWire;

/** A worker that at random answers, rejects or fails requests, stays silent, sends garbage or resets connections. */
final class SoakWorker {
    private static final long MAX_LATENCY_MILLIS = 120;
    /** The maximum latency is at most the shortest deadline divided by this. */
    private static final long MAX_LATENCY_DIVISOR = 3;
    /** Percentages of all requests, by outcome; the rest succeed. */
    private static final int FULL_PERCENT = 5;

    private static final int FAILED_PERCENT = 4;
    private static final int SILENT_PERCENT = 4;
    private static final int GARBAGE_PERCENT = 2;
    private static final int RESET_PERCENT = 3;

    private static final ScheduledExecutorService RESPONSE_SCHEDULER = Executors.newScheduledThreadPool(2, task -> {
        Thread thread = new Thread(task);
        thread.setDaemon(true);
        return thread;
    });

    /** Worker id in discovery events; may change when the worker is replaced at its address. */
    volatile String name;
    /** Start of the drain; zero while the worker is in service. */
    volatile long drainingSince;

    private volatile long startedAtUnixMillis;

    private final int port;
    private final Map<String, SoakRequest> requests;
    private final List<String> unknownIds;
    private final List<SoakRequest.Arrival> loadRequests;
    private final List<Socket> sockets = new CopyOnWriteArrayList<>();
    private final int maxLatencyMillis;
    private final Random random;

    /**
     * @param requests all requests of clients, by id
     * @param unknownIds receives the ids of attempts for which no client sent a request
     * @param loadRequests receives the load requests, without queries ({@code replicas=0})
     * @param acceptor accepts the worker's connections
     */
    SoakWorker(
            String name,
            Map<String, SoakRequest> requests,
            List<String> unknownIds,
            List<SoakRequest.Arrival> loadRequests,
            SoakSettings settings,
            SoakAcceptor acceptor,
            long seed)
            throws IOException {
        this.name = name;
        this.requests = requests;
        this.unknownIds = unknownIds;
        this.loadRequests = loadRequests;
        this.maxLatencyMillis =
                (int) Math.min(MAX_LATENCY_MILLIS, settings.shortestDeadlineMillis() / MAX_LATENCY_DIVISOR);
        this.random = new Random(seed);
        this.port = acceptor.listen(socket -> {
            sockets.add(socket);
            Background.run(() -> serve(socket));
        });
    }

    String member(String state) {
        return "{\"id\":\"" + name + "\",\"addr\":\"127.0.0.1:" + port
                + "\",\"zone\":\"hall\",\"kind\":\"kind\",\"cell\":1,\"state\":\"" + state
                + "\",\"weight\":1,\"started_ms\":"
                + startedAtUnixMillis + "}";
    }

    /** Starts the drain: new requests and load requests are rejected from now on. */
    void drain() {
        drainingSince = System.nanoTime();
    }

    /** Replaces the worker by a new process at the same address, with the given id, and closes all connections. */
    void restart(String newName) {
        name = newName;
        startedAtUnixMillis = System.currentTimeMillis();
        drainingSince = 0;
        sockets.forEach(socket -> {
            try {
                socket.close();
            } catch (IOException closed) {
                // the router has closed it
            }
        });
        sockets.clear();
    }

    private SoakRequest.Arrival arrival() {
        return new SoakRequest.Arrival(name, System.nanoTime(), drainingSince);
    }

    private void serve(Socket socket) throws IOException {
        InputStream in = new BufferedInputStream(socket.getInputStream());
        while (true) {
            List<byte[]> words = WorkerWire.readCommand(in);
            String command = WorkerWire.text(words.get(0));
            if (command.equals("go")) {
                onRequest(socket, WorkerWire.text(words.get(1)), fields(WorkerWire.text(words.get(2))), words.get(3));
            } else if (command.equals("stage")) {
                onLoadRequest(socket, WorkerWire.text(words.get(1)), WorkerWire.text(words.get(2)));
            } else if (command.equals("ping")) {
                write(
                        socket,
                        WorkerWire.response(
                                WorkerWire.text(words.get(1)),
                                drainingSince == 0 ? "READY" : "AILING",
                                "-",
                                new byte[0]));
            }
        }
    }

    private void onLoadRequest(Socket socket, String id, String fields) throws IOException {
        if (!ClientWire.isFunction(fields(fields).get("item"))) {
            unknownIds.add("a load request of " + fields);
        }
        if (!fields.endsWith("replicas=0")) {
            loadRequests.add(arrival());
        }
        boolean draining = drainingSince != 0;
        write(
                socket,
                WorkerWire.response(
                        id, draining ? "AGAIN" : "ACK", draining ? "replicas=0" : "replicas=1", new byte[0]));
    }

    private void onRequest(Socket socket, String id, Map<String, String> fields, byte[] body) throws IOException {
        SoakRequest.Arrival arrival = arrival();
        SoakRequest request = requests.get(id);
        if (request == null) {
            if (!FloodClient.isFloodId(id)) {
                unknownIds.add(id);
            }
            return;
        }
        int outcome;
        int latency;
        synchronized (random) {
            outcome = random.nextInt(100);
            latency = 1 + random.nextInt(maxLatencyMillis);
        }
        boolean executed = outcome >= FULL_PERCENT && arrival.drainingSince() == 0;
        request.onAttempt(new SoakRequest.Attempt(
                arrival, Long.parseLong(fields.get("limit")), fields.getOrDefault("nonce", ""), body, executed));
        if (!executed) {
            write(socket, WorkerWire.response(id, "AGAIN", "-", new byte[0]));
            return;
        }
        RESPONSE_SCHEDULER.schedule(
                () -> answerQuietly(socket, id, body, outcome - FULL_PERCENT), latency, TimeUnit.MILLISECONDS);
    }

    private void answerQuietly(Socket socket, String id, byte[] body, int outcome) {
        try {
            answer(socket, id, body, outcome);
        } catch (IOException closed) {
            // the router has closed the connection
        }
    }

    private void answer(Socket socket, String id, byte[] body, int outcome) throws IOException {
        if (outcome < FAILED_PERCENT) {
            write(socket, WorkerWire.response(id, "EIO", "-", new byte[0]));
        } else if (outcome < FAILED_PERCENT + SILENT_PERCENT) {
            return;
        } else if (outcome < FAILED_PERCENT + SILENT_PERCENT + GARBAGE_PERCENT) {
            write(socket, "*9\r\n?".getBytes(StandardCharsets.ISO_8859_1));
        } else if (outcome < FAILED_PERCENT + SILENT_PERCENT + GARBAGE_PERCENT + RESET_PERCENT) {
            socket.setSoLinger(true, 0);
            socket.close();
        } else {
            write(socket, WorkerWire.response(id, "ACK", "tell=up", body));
        }
    }

    private static void write(Socket socket, byte[] bytes) throws IOException {
        synchronized (socket) {
            socket.getOutputStream().write(bytes);
        }
    }

    private static Map<String, String> fields(String text) {
        Map<String, String> fields = new ConcurrentHashMap<>();
        for (String field : text.split(",")) {
            int equals = field.indexOf('=');
            fields.put(field.substring(0, equals), field.substring(equals + 1));
        }
        return fields;
    }
}
