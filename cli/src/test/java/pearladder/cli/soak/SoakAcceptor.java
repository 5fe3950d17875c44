package pearladder.cli.soak;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.channels.SelectionKey;
import java.nio.channels.Selector;
import java.nio.channels.ServerSocketChannel;
import java.nio.channels.SocketChannel;
import java.util.function.Consumer;

/** Accepts connections at many addresses on one thread, so that one process can simulate thousands of workers. */
final class SoakAcceptor implements AutoCloseable {
    private static final int BACKLOG = 200;

    private final Selector selector = Selector.open();

    SoakAcceptor() throws IOException {
        Background.run(() -> {
            while (selector.isOpen()) {
                acceptReady();
            }
        });
    }

    /**
     * Listens on a free port.
     *
     * @param onAccepted receives each connection, in blocking mode; it must not block
     * @return the port
     */
    int listen(Consumer<Socket> onAccepted) throws IOException {
        ServerSocketChannel server = ServerSocketChannel.open();
        server.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), BACKLOG);
        server.configureBlocking(false);
        server.register(selector, SelectionKey.OP_ACCEPT, onAccepted);
        selector.wakeup();
        return server.socket().getLocalPort();
    }

    private void acceptReady() throws IOException {
        selector.select(this::accept);
    }

    @SuppressWarnings("unchecked")
    private void accept(SelectionKey key) {
        try {
            SocketChannel channel = ((ServerSocketChannel) key.channel()).accept();
            if (channel != null) {
                ((Consumer<Socket>) key.attachment()).accept(channel.socket());
            }
        } catch (IOException closed) {
            // the router has closed it
        }
    }

    @Override
    public void close() throws IOException {
        for (SelectionKey key : selector.keys()) {
            key.channel().close();
        }
        selector.close();
    }
}
