package pearladder.router.kserve;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.CopyOnWriteArrayList;

/** A worker whose responses are written to the socket by a script of the test. */
final class RawWorker implements AutoCloseable {
    /** Responds to one request that was received completely; the first has number 1. */
    interface Script {
        void respond(int number, String head, OutputStream out, Socket socket) throws IOException;
    }

    final ServerSocket serverSocket;
    /** Heads of the requests that were received completely, in order. */
    final List<String> requestHeads = new CopyOnWriteArrayList<>();

    private final List<Socket> sockets = new CopyOnWriteArrayList<>();
    private final Script script;

    RawWorker(Script script) {
        this.script = script;
        try {
            serverSocket = new ServerSocket(0, 4096, InetAddress.getLoopbackAddress());
        } catch (IOException failure) {
            throw new UncheckedIOException(failure);
        }
        start(this::accept);
    }

    private static void start(Runnable task) {
        Thread thread = new Thread(task, "raw worker");
        thread.setDaemon(true);
        thread.start();
    }

    /** Writes a complete response. */
    static void respond(OutputStream out, int status, String headers, String body) throws IOException {
        out.write(("HTTP/1.1 " + status + " X\r\ncontent-length: " + body.length() + "\r\n" + headers + "\r\n" + body)
                .getBytes(StandardCharsets.US_ASCII));
        out.flush();
    }

    private void accept() {
        while (!serverSocket.isClosed()) {
            try {
                Socket socket = serverSocket.accept();
                sockets.add(socket);
                start(() -> serve(socket));
            } catch (IOException closed) {
                return;
            }
        }
    }

    private void serve(Socket socket) {
        try (socket) {
            InputStream in = new BufferedInputStream(socket.getInputStream());
            String head;
            while ((head = readHead(in)) != null) {
                in.readNBytes(contentLength(head));
                requestHeads.add(head);
                script.respond(requestHeads.size(), head, socket.getOutputStream(), socket);
            }
        } catch (IOException failure) {
            return;
        }
    }

    private static int contentLength(String head) {
        int length = 0;
        for (String line : head.split("\r\n")) {
            if (line.toLowerCase(Locale.ROOT).startsWith("content-length:")) {
                length = Integer.parseInt(line.substring(15).trim());
            }
        }
        return length;
    }

    private static String readHead(InputStream in) throws IOException {
        StringBuilder head = new StringBuilder();
        int next;
        while ((next = in.read()) >= 0) {
            head.append((char) next);
            if (head.length() >= 4 && head.substring(head.length() - 4).equals("\r\n\r\n")) {
                return head.toString();
            }
        }
        return null;
    }

    /** Returns whether the router has closed every connection. */
    boolean areAllConnectionsClosed() {
        return sockets.stream().allMatch(Socket::isClosed);
    }

    @Override
    public void close() {
        try {
            serverSocket.close();
            for (Socket socket : sockets) {
                socket.close();
            }
        } catch (IOException failure) {
            throw new UncheckedIOException(failure);
        }
    }
}
