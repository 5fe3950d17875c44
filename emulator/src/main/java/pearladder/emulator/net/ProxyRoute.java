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

/** The route from one router to one worker: a listening loopback port, its faults, and its connections. */
final class ProxyRoute {
    private static final String LOOPBACK = "127.0.0.1";
    /** A short backlog, so that the system does not queue connections while the route accepts none. */
    private static final int BACKLOG = 1;

    private final Selector selector;
    private final String router;
    private final String worker;
    private final int targetPort;
    private final List<ProxyConnection> connections = new ArrayList<>();
    private ServerSocketChannel listener;
    /** Assigned by the system on the first {@link #listen} and reused by later ones. */
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

    /** Returns whether this route connects the router and the worker; an empty name matches all. */
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

    /** Starts or ends a cut, in which no data is relayed and no connection accepted, as if packets were dropped. */
    void setCut(boolean on) {
        cut = on;
        if (!on) {
            List.copyOf(connections).forEach(ProxyConnection::resetIfAnEndHasClosed);
        }
        updateInterest();
    }

    /** Stops or resumes accepting new connections; existing ones are still relayed. */
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

    /** Refuses connections while the worker's process is down; listens again once it is up. */
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
