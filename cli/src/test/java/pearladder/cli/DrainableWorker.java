package pearladder.cli;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.OptionalLong;
import java.util.concurrent.CopyOnWriteArrayList;

/**
 * A fake worker that can drain: it then rejects new requests and load requests as full although it reports capacity,
 * and answers health checks with {@code AILING}. It records the arrival times of attempts and load requests.
 */
final class DrainableWorker implements AutoCloseable {
    private record NewWork(String kind, String id, long arrivedAt) {}

    private final String name;
    private final ServerSocket server = new ServerSocket(0, 200, InetAddress.getLoopbackAddress());
    private final List<NewWork> newWork = new CopyOnWriteArrayList<>();
    private volatile boolean draining;

    DrainableWorker(String name) throws IOException {
        this.name = name;
        PlatformProcessFixture.startDaemon(() -> {
            while (true) {
                Socket socket = server.accept();
                PlatformProcessFixture.startDaemon(() -> serve(socket));
            }
        });
    }

    void drain() {
        draining = true;
    }

    /** Returns the attempts and load requests that arrived after a time, a {@code nanoTime}. */
    List<String> newWorkSince(long nanos) {
        return newWork.stream()
                .filter(work -> work.arrivedAt() > nanos)
                .map(work -> work.kind() + " " + work.id())
                .toList();
    }

    /** Returns when the first attempt of a request arrived; empty if none did. */
    OptionalLong arrivalOf(String requestId) {
        return newWork.stream()
                .filter(work -> work.id().equals(requestId))
                .mapToLong(NewWork::arrivedAt)
                .min();
    }

    String member() {
        return "{\"id\":\"" + name + "\",\"addr\":\"127.0.0.1:" + server.getLocalPort()
                + "\",\"zone\":\"hall\",\"kind\":\"kind\",\"cell\":1,\"state\":\"in_service\","
                + "\"weight\":1,\"started_ms\":0}";
    }

    private void serve(Socket socket) throws Exception {
        InputStream in = new BufferedInputStream(socket.getInputStream());
        while (true) {
            List<byte[]> parts = WorkerWire.readCommand(in);
            onCommand(socket, parts.stream().map(WorkerWire::text).toList());
        }
    }

    private void onCommand(Socket socket, List<String> words) throws IOException {
        String id = words.get(1);
        switch (words.get(0)) {
            case "go" -> {
                newWork.add(new NewWork("request", id, System.nanoTime()));
                answer(socket, id, draining ? "AGAIN" : "ACK", "tell=up,meter=backlog:0;x1:0", words.get(3));
            }
            case "stage" -> {
                boolean isQuery = words.get(2).endsWith("replicas=0");
                if (!isQuery) {
                    newWork.add(new NewWork("load request", id, System.nanoTime()));
                }
                answer(socket, id, draining && !isQuery ? "AGAIN" : "ACK", "replicas=" + (draining ? 0 : 1), "");
            }
            case "ping" -> answer(socket, id, draining ? "AILING" : "READY", "meter=backlog:0;x1:0", "");
            default -> {
                // a cancellation or an unload request gets no answer
            }
        }
    }

    private static void answer(Socket socket, String id, String word, String fields, String body) throws IOException {
        byte[] response = WorkerWire.response(id, word, fields, body.getBytes(StandardCharsets.ISO_8859_1));
        synchronized (socket) {
            socket.getOutputStream().write(response);
        }
    }

    @Override
    public void close() throws IOException {
        server.close();
    }
}
