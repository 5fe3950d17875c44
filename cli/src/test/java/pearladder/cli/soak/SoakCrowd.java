package pearladder.cli.soak;

import java.io.IOException;
import java.net.InetAddress;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;

/** Opens many idle client connections at once and closes them after a delay. */
final class SoakCrowd {
    /** Client connections may use at most one in this many file descriptors. */
    private static final int CLIENT_SHARE_DIVISOR = 3;
    /** {@code sockets} of the configuration. */
    private static final int DESCRIPTOR_LIMIT = 512;
    /** Connections reserved for the router's other clients. */
    private static final int RESERVED_CONNECTIONS = 20;

    private SoakCrowd() {}

    static void start(SoakRouter router, int holdMillis) {
        Background.run(() -> {
            List<Socket> sockets = new ArrayList<>();
            try {
                for (int i = 0; i < DESCRIPTOR_LIMIT / CLIENT_SHARE_DIVISOR - RESERVED_CONNECTIONS; i++) {
                    sockets.add(new Socket(InetAddress.getLoopbackAddress(), router.port));
                }
                Thread.sleep(holdMillis);
            } finally {
                for (Socket socket : sockets) {
                    close(socket);
                }
            }
        });
    }

    private static void close(Socket socket) {
        try {
            socket.close();
        } catch (IOException closed) {
            // the router has closed it
        }
    }
}
