package pearladder.cli.soak;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.Socket;
import java.util.Random;

/** A misbehaving client that sends a flood, garbage, half a message or nothing, then closes its connection. */
final class FloodClient {
    private static final String ID_PREFIX = "f100d";
    private static final int REQUESTS = 300;
    private static final int MAX_HOLD_MILLIS = 1500;

    private FloodClient() {}

    static boolean isFloodId(String id) {
        return id.startsWith(ID_PREFIX);
    }

    static void start(SoakRouter router, Random random) {
        int kind = random.nextInt(5);
        long salt = random.nextInt(1 << 20);
        int holdMillis = random.nextInt(MAX_HOLD_MILLIS);
        Background.run(() -> {
            try (Socket socket = new Socket(InetAddress.getLoopbackAddress(), router.port)) {
                socket.getOutputStream().write(bytes(kind, salt));
                Background.run(() -> socket.getInputStream().transferTo(OutputStream.nullOutputStream()));
                Thread.sleep(holdMillis);
            }
        });
    }

    private static byte[] bytes(int kind, long salt) throws IOException {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        switch (kind) {
            case 0, 1 -> {
                for (int i = 1; i <= REQUESTS; i++) {
                    String id = ID_PREFIX + String.format("%05x%06x", salt, i);
                    bytes.write(ClientWire.request(i, "draft", id, 1000, new byte[0]));
                    if (kind == 0) {
                        bytes.write(ClientWire.interrupt(i));
                    }
                }
            }
            case 2 -> bytes.write("GET / HTTP/1.1\r\n\r\n".getBytes());
            case 3 -> {
                byte[] whole = ClientWire.request(1, "draft", ID_PREFIX + "00000000000", 1000, new byte[9000]);
                bytes.write(whole, 0, whole.length / 2);
            }
            default -> bytes.write(new byte[0]);
        }
        return bytes.toByteArray();
    }
}
