package pearladder.emulator.net;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.StandardSocketOptions;
import java.nio.channels.SelectionKey;
import java.nio.channels.Selector;
import java.nio.channels.ServerSocketChannel;
import java.nio.channels.SocketChannel;
import java.util.ArrayList;
import java.util.List;

/** The way from one router to one worker: a listening loopback port, its faults, and the connections through it. */
final class ProxyRoute {
    private static final String LOOPBACK = "127.0.0.1";
    /** Short, so that connections are not silently queued while nothing is accepted. */
    private static final int BACKLOG = 1;

    private final Selector selector;
    private final String router;
    private final String worker;
    private final int targetPort;
    private final List<ProxyConnection> connections = new ArrayList<>();
    private ServerSocketChannel listener;
    /** Given by the system when it first listens, and kept. */
    private int port;

    private boolean cut;
    private boolean notAccepting;
    private boolean down;

    ProxyRoute(Selector selector, String router, String worker, int targetPort) {
        this.selector = selector;
        this.router = router;
        this.worker = worker;
        this.targetPort = targetPort;
    }

    int port() {
        return port;
    }

    int targetPort() {
        return targetPort;
    }

    InetSocketAddress targetAddress() {
        return new InetSocketAddress(LOOPBACK, targetPort);
    }

    /** Whether it joins these; an empty name matches all. */
    boolean matches(String wantedRouter, String wantedWorker) {
        return (wantedRouter.isEmpty() || router.equals(wantedRouter))
                && (wantedWorker.isEmpty() || worker.equals(wantedWorker));
    }

    boolean isCut() {
        return cut;
    }

    void listen() throws IOException {
        listener = ServerSocketChannel.open();
        listener.setOption(StandardSocketOptions.SO_REUSEADDR, true);
        listener.bind(new InetSocketAddress(LOOPBACK, port), BACKLOG);
        port = ((InetSocketAddress) listener.getLocalAddress()).getPort();
        listener.configureBlocking(false);
        listener.register(selector, acceptInterest(), this);
    }

    private int acceptInterest() {
        return cut || notAccepting ? 0 : SelectionKey.OP_ACCEPT;
    }

    void accept() throws IOException {
        SocketChannel client = listener.accept();
        if (client == null) {
            return;
        }
        ProxyConnection connection = ProxyConnection.open(this, selector, client);
        if (connection != null) {
            connections.add(connection);
            connection.updateInterest();
        }
    }

    void remove(ProxyConnection connection) {
        connections.remove(connection);
    }

    /** Nothing passes and nobody accepts, as where packets are dropped; or all passes again. */
    void setCut(boolean on) {
        cut = on;
        if (!on) {
            List.copyOf(connections).forEach(ProxyConnection::resetIfAnEndHasClosed);
        }
        updateInterest();
    }

    /** Nobody accepts new connections, while existing ones go on; or they are accepted again. */
    void setNotAccepting(boolean on) {
        notAccepting = on;
        updateInterest();
    }

    private void updateInterest() {
        SelectionKey key = listener.keyFor(selector);
        if (key != null && key.isValid()) {
            key.interestOps(acceptInterest());
        }
        connections.forEach(ProxyConnection::updateInterest);
    }

    /** The worker's process is gone, so that connections are refused; or it is back. */
    void setDown(boolean on) throws IOException {
        if (down == on) {
            return;
        }
        down = on;
        if (on) {
            close();
        } else {
            listen();
        }
    }

    void resetConnections() {
        List.copyOf(connections).forEach(ProxyConnection::reset);
    }

    void close() throws IOException {
        resetConnections();
        listener.close();
    }
}
