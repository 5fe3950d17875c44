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

/** An engine scripted byte by byte: what it does with each request is told by the test. */
final class RawEngine implements AutoCloseable {
    /** What is done with one request that has come in whole. */
    interface Script {
        void answer(int number, String head, OutputStream out, Socket socket) throws IOException;
    }

    final ServerSocket door;
    /** Heads of the requests that came in whole, in order. */
    final List<String> heads = new CopyOnWriteArrayList<>();

    private final List<Socket> sockets = new CopyOnWriteArrayList<>();
    private final Script script;

    RawEngine(Script script) {
        this.script = script;
        try {
            door = new ServerSocket(0, 4096, InetAddress.getLoopbackAddress());
        } catch (IOException broken) {
            throw new UncheckedIOException(broken);
        }
        start(this::accept);
    }

    private static void start(Runnable run) {
        Thread thread = new Thread(run, "raw engine");
        thread.setDaemon(true);
        thread.start();
    }

    static void plain(OutputStream out, int status, String headers, String body) throws IOException {
        out.write(("HTTP/1.1 " + status + " X\r\ncontent-length: " + body.length() + "\r\n" + headers + "\r\n" + body)
                .getBytes(StandardCharsets.US_ASCII));
        out.flush();
    }

    private void accept() {
        while (!door.isClosed()) {
            try {
                Socket socket = door.accept();
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
            while ((head = head(in)) != null) {
                int length = 0;
                for (String line : head.split("\r\n")) {
                    if (line.toLowerCase(Locale.ROOT).startsWith("content-length:")) {
                        length = Integer.parseInt(line.substring(15).trim());
                    }
                }
                in.readNBytes(length);
                heads.add(head);
                script.answer(heads.size(), head, socket.getOutputStream(), socket);
            }
        } catch (IOException broken) {
            return;
        }
    }

    private static String head(InputStream in) throws IOException {
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

    /** Whether the other side has closed every connection. */
    boolean allClosed() {
        return sockets.stream().allMatch(Socket::isClosed);
    }

    @Override
    public void close() {
        try {
            door.close();
            for (Socket socket : sockets) {
                socket.close();
            }
        } catch (IOException broken) {
            throw new UncheckedIOException(broken);
        }
    }
}
