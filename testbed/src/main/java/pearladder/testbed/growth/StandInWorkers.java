package pearladder.testbed.growth;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.channels.SelectionKey;
import java.nio.channels.Selector;
import java.nio.channels.ServerSocketChannel;
import java.nio.channels.SocketChannel;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;

/** Many stand-in workers on one thread, each with its own address and a fixed execution time per request. */
final class StandInWorkers implements AutoCloseable {
    private static final int BACKLOG = 50;
    private static final int READ_BYTES = 64 * 1024;
    private static final long LATENCY_NANOS = 20_000_000;
    private static final long POLL_MILLIS = 2;

    private record Response(long dueAtNanos, SocketChannel channel, byte[] bytes) {}

    private final Selector selector = Selector.open();
    private final List<Integer> ports = new ArrayList<>();
    private final ArrayDeque<Response> responses = new ArrayDeque<>();
    private final ByteBuffer input = ByteBuffer.allocate(READ_BYTES);
    private volatile int connections;

    StandInWorkers(int count) throws IOException {
        for (int i = 0; i < count; i++) {
            ServerSocketChannel server = ServerSocketChannel.open();
            server.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), BACKLOG);
            server.configureBlocking(false);
            server.register(selector, SelectionKey.OP_ACCEPT);
            ports.add(server.socket().getLocalPort());
        }
        Thread thread = new Thread(this::serve, "stand-in workers");
        thread.setDaemon(true);
        thread.start();
    }

    /** Returns a worker in the format of a discovery event. */
    String member(int index, String state) {
        return String.format(
                "{\"id\":\"s-%08x\",\"addr\":\"127.0.0.1:%d\",\"zone\":\"hall\",\"kind\":\"kind\",\"cell\":1,"
                        + "\"state\":\"%s\",\"weight\":1,\"started_ms\":0}",
                (int) (index * 2_654_435_761L), ports.get(index), state);
    }

    /** Returns the number of connections made so far. */
    int connections() {
        return connections;
    }

    private void serve() {
        while (selector.isOpen()) {
            try {
                selector.select(this::onReady, responses.isEmpty() ? 0 : POLL_MILLIS);
                respond();
            } catch (IOException broken) {
                throw new IllegalStateException("I/O error in the selector loop of the stand-in workers", broken);
            }
        }
    }

    private void onReady(SelectionKey key) {
        try {
            if (key.isAcceptable()) {
                accept((ServerSocketChannel) key.channel());
            } else {
                read(key);
            }
        } catch (IOException | IllegalStateException closedOrUnreadable) {
            key.cancel();
        }
    }

    private void accept(ServerSocketChannel server) throws IOException {
        SocketChannel channel = server.accept();
        if (channel != null) {
            connections++;
            channel.configureBlocking(false);
            channel.register(selector, SelectionKey.OP_READ, new CommandReader());
        }
    }

    private void read(SelectionKey key) throws IOException {
        SocketChannel channel = (SocketChannel) key.channel();
        input.clear();
        if (channel.read(input) < 0) {
            channel.close();
            return;
        }
        input.flip();
        for (List<byte[]> command : ((CommandReader) key.attachment()).read(input)) {
            onCommand(channel, command);
        }
    }

    private void onCommand(SocketChannel channel, List<byte[]> command) {
        String word = new String(command.get(0), StandardCharsets.ISO_8859_1);
        byte[] response =
                switch (word) {
                    case "go" -> CommandReader.array(command.get(1), bytes("ACK"), bytes("tell=up"), command.get(3));
                    case "stage" -> CommandReader.array(command.get(1), bytes("ACK"), bytes("replicas=1"), new byte[0]);
                    case "ping", "stat" -> CommandReader.array(command.get(1), bytes("READY"), bytes("-"), new byte[0]);
                    default -> null;
                };
        if (response != null) {
            responses.add(new Response(System.nanoTime() + LATENCY_NANOS, channel, response));
        }
    }

    private static byte[] bytes(String text) {
        return text.getBytes(StandardCharsets.ISO_8859_1);
    }

    private void respond() {
        while (!responses.isEmpty() && responses.peek().dueAtNanos <= System.nanoTime()) {
            Response response = responses.remove();
            try {
                response.channel.write(ByteBuffer.wrap(response.bytes));
            } catch (IOException closed) {
                // the router has closed it
            }
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
