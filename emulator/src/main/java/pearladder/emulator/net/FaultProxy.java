package pearladder.emulator.net;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetSocketAddress;
import java.net.StandardSocketOptions;
import java.nio.ByteBuffer;
import java.nio.channels.CancelledKeyException;
import java.nio.channels.SelectionKey;
import java.nio.channels.Selector;
import java.nio.channels.ServerSocketChannel;
import java.nio.channels.SocketChannel;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.Callable;
import java.util.concurrent.CompletableFuture;

/**
 * The stand-in network: each router reaches each engine over a cable of its own, a relay on a loopback port. A cable can
 * be cut (nothing passes and nobody accepts, as where packets are dropped), broken once (every connection is reset), or
 * refuse while its engine is down. One thread of its own relays for all.
 */
public final class FaultProxy implements AutoCloseable {
    private static final int BUFFER = 64 << 10;

    private static final class Cable {
        final String router;
        final String engine;
        final int target;
        int port;
        ServerSocketChannel door;
        boolean cut;
        boolean deaf;
        boolean down;
        final List<Wire> wires = new ArrayList<>();

        Cable(String router, String engine, int target) {
            this.router = router;
            this.engine = engine;
            this.target = target;
        }
    }

    /** One connection through a cable; each way has a buffer that is filled, then emptied. */
    private static final class Wire {
        final Cable cable;
        final SocketChannel near;
        final SocketChannel far;
        final ByteBuffer out = ByteBuffer.allocate(BUFFER);
        final ByteBuffer back = ByteBuffer.allocate(BUFFER);
        boolean nearEnded;
        boolean farEnded;

        Wire(Cable cable, SocketChannel near, SocketChannel far) {
            this.cable = cable;
            this.near = near;
            this.far = far;
            out.limit(0);
            back.limit(0);
        }
    }

    private final Selector selector;
    private final Map<String, Cable> cables = new LinkedHashMap<>();
    private final ArrayDeque<Runnable> tasks = new ArrayDeque<>();
    private final Thread thread;
    private volatile boolean closed;

    FaultProxy() {
        try {
            selector = Selector.open();
        } catch (IOException broken) {
            throw new UncheckedIOException(broken);
        }
        thread = new Thread(this::relay, "cables");
        thread.setDaemon(true);
        thread.start();
    }

    private <T> T call(Callable<T> what) {
        CompletableFuture<T> done = new CompletableFuture<>();
        synchronized (tasks) {
            tasks.add(() -> {
                try {
                    done.complete(what.call());
                } catch (Exception failed) {
                    done.completeExceptionally(failed);
                }
            });
        }
        selector.wakeup();
        return done.join();
    }

    /** The port of the cable from a router to an engine, which is laid when first asked for. */
    int port(String router, String engine, int target) {
        return call(() -> {
            Cable cable = cables.get(router + ">" + engine);
            if (cable == null || cable.target != target) {
                cable = new Cable(router, engine, target);
                cables.put(router + ">" + engine, cable);
                open(cable);
            }
            return cable.port;
        });
    }

    /** Cuts or mends the cables between routers and engines; an empty name stands for all. */
    void cut(String router, String engine, boolean on) {
        each(router, engine, cable -> {
            cable.cut = on;
            if (!on) {
                List.copyOf(cable.wires).forEach(this::mend);
            }
            interest(cable);
        });
    }

    /**
     * Guards against delivering what no network would: a sender that gave up during the cut no longer sends its bytes
     * again, so a connection with an end that has closed is gone with all that it held.
     */
    private void mend(Wire wire) {
        try {
            boolean over = ended(wire.near, wire.out) || ended(wire.far, wire.back);
            if (over) {
                reset(wire);
            }
        } catch (IOException broken) {
            reset(wire);
        }
    }

    /** Reads what waits at one end behind what the buffer holds; whether that end has closed. */
    private static boolean ended(SocketChannel end, ByteBuffer buffer) throws IOException {
        buffer.compact();
        int read;
        do {
            read = buffer.hasRemaining() ? end.read(buffer) : 0;
        } while (read > 0);
        buffer.flip();
        return read < 0;
    }

    /** Nobody accepts connections, while those that stand go on: handshakes that take too long. */
    void deaf(String engine, boolean on) {
        each("", engine, cable -> {
            cable.deaf = on;
            interest(cable);
        });
    }

    /** Resets every connection once. */
    void reset(String router, String engine) {
        each(router, engine, cable -> List.copyOf(cable.wires).forEach(FaultProxy::reset));
    }

    /** The engine's process is gone, or back: connections are refused, or accepted again. */
    void down(String engine, boolean on) {
        each("", engine, cable -> {
            if (cable.down == on) {
                return;
            }
            cable.down = on;
            if (on) {
                List.copyOf(cable.wires).forEach(FaultProxy::reset);
                cable.door.close();
            } else {
                open(cable);
            }
        });
    }

    private interface Deed {
        void to(Cable cable) throws IOException;
    }

    private void each(String router, String engine, Deed deed) {
        call(() -> {
            for (Cable cable : cables.values()) {
                if ((router.isEmpty() || cable.router.equals(router))
                        && (engine.isEmpty() || cable.engine.equals(engine))) {
                    deed.to(cable);
                }
            }
            return null;
        });
    }

    private void open(Cable cable) throws IOException {
        cable.door = ServerSocketChannel.open();
        cable.door.setOption(StandardSocketOptions.SO_REUSEADDR, true);
        cable.door.bind(new InetSocketAddress("127.0.0.1", cable.port), 1);
        cable.port = ((InetSocketAddress) cable.door.getLocalAddress()).getPort();
        cable.door.configureBlocking(false);
        cable.door.register(selector, cable.cut || cable.deaf ? 0 : SelectionKey.OP_ACCEPT, cable);
    }

    private void interest(Cable cable) {
        SelectionKey key = cable.door.keyFor(selector);
        if (key != null && key.isValid()) {
            key.interestOps(cable.cut || cable.deaf ? 0 : SelectionKey.OP_ACCEPT);
        }
        cable.wires.forEach(this::interest);
    }

    private void interest(Wire wire) {
        SelectionKey near = wire.near.keyFor(selector);
        SelectionKey far = wire.far.keyFor(selector);
        if (near == null || far == null || !near.isValid() || !far.isValid()) {
            return;
        }
        boolean passes = !wire.cable.cut;
        near.interestOps(
                !passes
                        ? 0
                        : (wire.out.hasRemaining() || wire.nearEnded ? 0 : SelectionKey.OP_READ)
                                | (wire.back.hasRemaining() ? SelectionKey.OP_WRITE : 0));
        far.interestOps(
                !passes
                        ? 0
                        : (wire.back.hasRemaining() || wire.farEnded ? 0 : SelectionKey.OP_READ)
                                | (wire.out.hasRemaining() ? SelectionKey.OP_WRITE : 0));
    }

    private void relay() {
        while (!closed) {
            try {
                selector.select(200);
                Runnable task;
                while ((task = next()) != null) {
                    task.run();
                }
                for (SelectionKey key : List.copyOf(selector.selectedKeys())) {
                    turn(key);
                }
                selector.selectedKeys().clear();
            } catch (IOException broken) {
                throw new UncheckedIOException(broken);
            }
        }
    }

    private Runnable next() {
        synchronized (tasks) {
            return tasks.poll();
        }
    }

    private void turn(SelectionKey key) {
        try {
            if (!key.isValid()) {
                return;
            }
            if (key.attachment() instanceof Cable cable) {
                accept(cable);
            } else if (key.attachment() instanceof Wire wire) {
                pass(wire);
            }
        } catch (IOException | CancelledKeyException broken) {
            if (key.attachment() instanceof Wire wire) {
                reset(wire);
            }
        }
    }

    private void accept(Cable cable) throws IOException {
        SocketChannel near = cable.door.accept();
        if (near == null) {
            return;
        }
        near.configureBlocking(false);
        ByteBuffer said = ByteBuffer.allocate(BUFFER);
        if (near.read(said) < 0 || said.position() > 0 && said.hasRemaining() && near.read(said) < 0) {
            // it waited to be accepted through a cut and has given up: no network would deliver its bytes now
            near.close();
            return;
        }
        SocketChannel far;
        try {
            far = SocketChannel.open(new InetSocketAddress("127.0.0.1", cable.target));
        } catch (IOException gone) {
            near.setOption(StandardSocketOptions.SO_LINGER, 0);
            near.close();
            return;
        }
        Wire wire = new Wire(cable, near, far);
        wire.out.clear();
        wire.out.put(said.flip());
        wire.out.flip();
        for (SocketChannel end : List.of(near, far)) {
            end.setOption(StandardSocketOptions.TCP_NODELAY, true);
            end.configureBlocking(false);
            end.register(selector, SelectionKey.OP_READ, wire);
        }
        cable.wires.add(wire);
        interest(wire);
    }

    private void pass(Wire wire) throws IOException {
        if (!wire.near.isOpen() || wire.cable.cut) {
            return;
        }
        wire.nearEnded |= move(wire.near, wire.far, wire.out, wire.nearEnded);
        wire.farEnded |= move(wire.far, wire.near, wire.back, wire.farEnded);
        if (wire.nearEnded && !wire.out.hasRemaining() || wire.farEnded && !wire.back.hasRemaining()) {
            wire.near.close();
            wire.far.close();
            wire.cable.wires.remove(wire);
        } else {
            interest(wire);
        }
    }

    /** Moves what can be moved one way; true once the sender has ended. */
    private static boolean move(SocketChannel from, SocketChannel to, ByteBuffer buffer, boolean ended)
            throws IOException {
        boolean over = false;
        if (!buffer.hasRemaining() && !ended) {
            buffer.clear();
            over = from.read(buffer) < 0;
            buffer.flip();
        }
        if (buffer.hasRemaining()) {
            to.write(buffer);
        }
        return over;
    }

    private static void reset(Wire wire) {
        for (SocketChannel end : List.of(wire.near, wire.far)) {
            try {
                end.setOption(StandardSocketOptions.SO_LINGER, 0);
                end.close();
            } catch (IOException gone) {
                continue;
            }
        }
        wire.cable.wires.remove(wire);
    }

    @Override
    public void close() {
        call(() -> {
            for (Cable cable : cables.values()) {
                List.copyOf(cable.wires).forEach(FaultProxy::reset);
                cable.door.close();
            }
            return null;
        });
        closed = true;
        selector.wakeup();
    }
}
