import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.StandardSocketOptions;
import java.nio.channels.SelectionKey;
import java.nio.channels.Selector;
import java.nio.channels.ServerSocketChannel;
import java.nio.channels.SocketChannel;
import java.util.ArrayList;
import java.util.List;

/** Many sound workers, each with a port of its own; one thread accepts the connections of all. */
final class Fleet {
    final List<Integer> ports = new ArrayList<>();
    private final Worker worker;

    /** @param worker answers the commands of all */
    Fleet(int workers, Worker worker) throws IOException {
        this.worker = worker;
        Selector selector = Selector.open();
        for (int i = 0; i < workers; i++) {
            ServerSocketChannel server = ServerSocketChannel.open();
            server.bind(new InetSocketAddress(InetAddress.getByName("127.0.0.1"), 0), 64);
            server.configureBlocking(false);
            server.register(selector, SelectionKey.OP_ACCEPT);
            ports.add(server.socket().getLocalPort());
        }
        Cases.daemon("fleet", () -> accept(selector));
    }

    private void accept(Selector selector) throws IOException {
        while (true) {
            selector.select();
            for (SelectionKey key : selector.selectedKeys()) {
                SocketChannel channel = ((ServerSocketChannel) key.channel()).accept();
                if (channel != null) {
                    channel.setOption(StandardSocketOptions.TCP_NODELAY, true);
                    Cases.daemon("worker connection", () -> worker.serve(worker.new Connection(channel.socket())));
                }
            }
            selector.selectedKeys().clear();
        }
    }
}
