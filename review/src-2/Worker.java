import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/** A worker on a loopback port, which by default answers each command at once, as the operators' pages describe. */
class Worker implements AutoCloseable {
    /** One accepted connection of a router. */
    final class Connection {
        final Socket socket;

        Connection(Socket socket) {
            this.socket = socket;
        }

        void answer(String id, String word, String fields, byte[] body) throws IOException {
            write(encode(id, word, fields, body));
        }

        synchronized void write(byte[] bytes) throws IOException {
            socket.getOutputStream().write(bytes);
        }
    }

    final String id;
    final ServerSocket server;
    final Set<Connection> connections = ConcurrentHashMap.newKeySet();

    Worker(String id) throws IOException {
        this.id = id;
        server = new ServerSocket(0, 1024, InetAddress.getByName("127.0.0.1"));
        Cases.daemon("worker", () -> {
            while (true) {
                Socket socket = server.accept();
                socket.setTcpNoDelay(true);
                Cases.daemon("worker connection", () -> serve(new Connection(socket)));
            }
        });
    }

    void serve(Connection connection) throws Exception {
        connections.add(connection);
        try (InputStream in = new BufferedInputStream(connection.socket.getInputStream(), 32 * 1024)) {
            while (true) {
                List<byte[]> parts = readCommand(in);
                String word = text(parts.get(0));
                switch (word) {
                    case "go" -> go(connection, text(parts.get(1)), text(parts.get(2)), parts.get(3));
                    case "ping", "stat" -> ping(connection, text(parts.get(1)));
                    case "stage" -> stage(connection, text(parts.get(1)), text(parts.get(2)));
                    default -> {
                        // a cancellation or an unload gets no answer
                    }
                }
            }
        } finally {
            connections.remove(connection);
            connection.socket.close();
        }
    }

    void go(Connection connection, String request, String fields, byte[] body) throws Exception {
        connection.answer(request, "ACK", "tell=up,meter=backlog:0;x1:0", body);
    }

    void ping(Connection connection, String tag) throws Exception {
        connection.answer(tag, "READY", "meter=backlog:0;x1:0", new byte[0]);
    }

    void stage(Connection connection, String tag, String fields) throws Exception {
        connection.answer(tag, "ACK", "replicas=1", new byte[0]);
    }

    String member(String state, long startedMillis) {
        return member(id, state, startedMillis, server.getLocalPort());
    }

    static String member(String id, String state, long startedMillis, int port) {
        return "{\"id\":\"" + id + "\",\"addr\":\"127.0.0.1:" + port + "\",\"zone\":\"east\",\"kind\":\"std\",\"cell\":1,"
                + "\"state\":\"" + state + "\",\"weight\":1,\"started_ms\":" + startedMillis + "}";
    }

    @Override
    public void close() throws IOException {
        server.close();
        for (Connection connection : connections) {
            connection.socket.close();
        }
    }

    static byte[] encode(String id, String word, String fields, byte[] body) {
        ByteArrayOutputStream out = new ByteArrayOutputStream(64 + body.length);
        out.writeBytes("*4\r\n".getBytes(StandardCharsets.ISO_8859_1));
        for (String part : List.of(id, word, fields)) {
            part(out, part.getBytes(StandardCharsets.ISO_8859_1));
        }
        part(out, body);
        return out.toByteArray();
    }

    private static void part(ByteArrayOutputStream out, byte[] part) {
        out.writeBytes(("$" + part.length + "\r\n").getBytes(StandardCharsets.ISO_8859_1));
        out.writeBytes(part);
        out.write('\r');
        out.write('\n');
    }

    private static List<byte[]> readCommand(InputStream in) throws IOException {
        List<byte[]> parts = new ArrayList<>();
        for (int remaining = length(in); remaining > 0; remaining--) {
            parts.add(in.readNBytes(length(in)));
            in.readNBytes(2);
        }
        return parts;
    }

    static String text(byte[] part) {
        return new String(part, StandardCharsets.ISO_8859_1);
    }

    private static int length(InputStream in) throws IOException {
        StringBuilder line = new StringBuilder();
        int next;
        while ((next = in.read()) != '\n') {
            if (next < 0) {
                throw new EOFException();
            }
            if (next != '\r') {
                line.append((char) next);
            }
        }
        return Integer.parseInt(line.substring(1));
    }
}
