package pearladder.emulator.net;

import java.io.IOException;
import java.net.StandardSocketOptions;
import java.nio.ByteBuffer;
import java.nio.channels.SelectionKey;
import java.nio.channels.Selector;
import java.nio.channels.SocketChannel;
import java.util.List;

/**
 * One connection through a {@link ProxyRoute}. Each direction has a buffer, which is filled from one end and
 * emptied into the other before more is read, so that a slow receiver exerts back pressure on its sender.
 */
final class ProxyConnection {
    private static final int BUFFER_BYTES = 64 << 10;
    private static final int RESET_ON_CLOSE = 0;

    private final ProxyRoute route;
    private final Selector selector;
    private final SocketChannel client;
    private final SocketChannel server;
    private final ByteBuffer toServer = ByteBuffer.allocate(BUFFER_BYTES);
    private final ByteBuffer toClient = ByteBuffer.allocate(BUFFER_BYTES);
    private boolean clientEnded;
    private boolean serverEnded;

    /** @param received bytes that the client has already sent */
    private ProxyConnection(
            ProxyRoute route, Selector selector, SocketChannel client, SocketChannel server, ByteBuffer received) {
        this.route = route;
        this.selector = selector;
        this.client = client;
        this.server = server;
        toServer.put(received);
        toServer.flip();
        toClient.limit(0);
    }

    /**
     * Connects an accepted client to the route's target.
     *
     * @return the connection, or null if the client has closed its end or the target refuses the connection
     */
    static ProxyConnection open(ProxyRoute route, Selector selector, SocketChannel client) throws IOException {
        client.configureBlocking(false);
        ByteBuffer received = ByteBuffer.allocate(BUFFER_BYTES);
        if (readAndDetectEnd(client, received)) {
            // The client closed while it waited to be accepted during a cut; a real network would not deliver its
            // bytes.
            client.close();
            return null;
        }
        SocketChannel server;
        try {
            server = SocketChannel.open(route.targetAddress());
        } catch (IOException e) {
            client.setOption(StandardSocketOptions.SO_LINGER, RESET_ON_CLOSE);
            client.close();
            return null;
        }
        ProxyConnection connection = new ProxyConnection(route, selector, client, server, received.flip());
        for (SocketChannel end : List.of(client, server)) {
            end.setOption(StandardSocketOptions.TCP_NODELAY, true);
            end.configureBlocking(false);
            end.register(selector, SelectionKey.OP_READ, connection);
        }
        return connection;
    }

    private static boolean readAndDetectEnd(SocketChannel client, ByteBuffer received) throws IOException {
        if (client.read(received) < 0) {
            return true;
        }
        boolean mayHaveMore = received.position() > 0 && received.hasRemaining();
        return mayHaveMore && client.read(received) < 0;
    }

    /** Relays the available bytes; closes both ends once one has ended and its bytes are delivered. */
    void relay() throws IOException {
        if (!client.isOpen() || route.isCut()) {
            return;
        }
        clientEnded |= transfer(client, server, toServer, clientEnded);
        serverEnded |= transfer(server, client, toClient, serverEnded);
        if (clientEnded && !toServer.hasRemaining() || serverEnded && !toClient.hasRemaining()) {
            client.close();
            server.close();
            route.remove(this);
        } else {
            updateInterest();
        }
    }

    /** Transfers the available bytes in one direction; returns whether the sender has now ended. */
    private static boolean transfer(SocketChannel from, SocketChannel to, ByteBuffer buffer, boolean ended)
            throws IOException {
        boolean endedNow = false;
        if (!buffer.hasRemaining() && !ended) {
            buffer.clear();
            endedNow = from.read(buffer) < 0;
            buffer.flip();
        }
        if (buffer.hasRemaining()) {
            to.write(buffer);
        }
        return endedNow;
    }

    /** Registers interest in the operations that the buffers allow, or in none while the route is cut. */
    void updateInterest() {
        SelectionKey clientKey = client.keyFor(selector);
        SelectionKey serverKey = server.keyFor(selector);
        if (!isValid(clientKey) || !isValid(serverKey)) {
            return;
        }
        clientKey.interestOps(interest(toServer, clientEnded, toClient));
        serverKey.interestOps(interest(toClient, serverEnded, toServer));
    }

    private static boolean isValid(SelectionKey key) {
        return key != null && key.isValid();
    }

    private int interest(ByteBuffer readInto, boolean ended, ByteBuffer writtenFrom) {
        if (route.isCut()) {
            return 0;
        }
        int read = readInto.hasRemaining() || ended ? 0 : SelectionKey.OP_READ;
        int write = writtenFrom.hasRemaining() ? SelectionKey.OP_WRITE : 0;
        return read | write;
    }

    /**
     * Resets the connection, dropping its buffered bytes, if an end closed during a cut that is now over. On a real
     * network a sender that has closed would no longer retransmit; delivering its bytes would emulate a fault that
     * does not exist.
     */
    void resetIfAnEndHasClosed() {
        try {
            if (readPending(client, toServer) || readPending(server, toClient)) {
                reset();
            }
        } catch (IOException e) {
            reset();
        }
    }

    /** Reads the pending bytes of one end into the buffer; returns whether that end has closed. */
    private static boolean readPending(SocketChannel end, ByteBuffer buffer) throws IOException {
        buffer.compact();
        int read;
        do {
            read = buffer.hasRemaining() ? end.read(buffer) : 0;
        } while (read > 0);
        buffer.flip();
        return read < 0;
    }

    /** Resets both ends. */
    void reset() {
        resetQuietly(client);
        resetQuietly(server);
        route.remove(this);
    }

    private static void resetQuietly(SocketChannel end) {
        try {
            end.setOption(StandardSocketOptions.SO_LINGER, RESET_ON_CLOSE);
            end.close();
        } catch (IOException e) {
            // The channel is already closed.
        }
    }
}
