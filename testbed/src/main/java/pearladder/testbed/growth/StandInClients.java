package pearladder.testbed.growth;

import java.io.IOException;
import java.net.InetAddress;
import java.net.Socket;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.BooleanSupplier;
import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessagePack;
import org.msgpack.core.MessageUnpacker;
import org.msgpack.value.ArrayValue;

/** One client connection to a router, with requests at a fixed rate. */
final class StandInClients implements AutoCloseable {
    private static final int FUNCTIONS = 200;
    private static final int BODY_BYTES = 300;
    private static final long BUDGET_MILLIS = 1000;
    private static final int MAX_OPEN_REQUESTS = 32;
    private static final long READY_POLL_MILLIS = 20;
    private static final int READY_TIMEOUT_MILLIS = 2000;

    private final Socket socket;
    private final AtomicInteger answered = new AtomicInteger();
    private final AtomicInteger served = new AtomicInteger();
    private int sent;

    StandInClients(int port) throws IOException {
        socket = new Socket(InetAddress.getLoopbackAddress(), port);
        socket.setTcpNoDelay(true);
        Thread reader = new Thread(this::readAnswers, "stand-in client");
        reader.setDaemon(true);
        reader.start();
    }

    /**
     * Waits until the router reports that it is ready; returns false if it exits or is not ready by the deadline.
     *
     * @param deadlineNanos deadline on the clock of {@link System#nanoTime()}
     */
    static boolean awaitReady(int port, BooleanSupplier isAlive, long deadlineNanos) throws InterruptedException {
        while (System.nanoTime() < deadlineNanos && isAlive.getAsBoolean()) {
            if (isReady(port)) {
                return true;
            }
            Thread.sleep(READY_POLL_MILLIS);
        }
        return false;
    }

    private static boolean isReady(int port) {
        try (Socket socket = new Socket(InetAddress.getLoopbackAddress(), port);
                MessageUnpacker answers = MessagePack.newDefaultUnpacker(socket.getInputStream())) {
            socket.setSoTimeout(READY_TIMEOUT_MILLIS);
            socket.getOutputStream().write(message(1, "check", Map.of(), null));
            ArrayValue answer = answers.unpackValue().asArrayValue();
            return answer.get(3).asArrayValue().get(0).asBooleanValue().getBoolean();
        } catch (IOException notYet) {
            return false;
        }
    }

    /** Sends a request, unless the connection has {@link #MAX_OPEN_REQUESTS} open requests. */
    void send() throws IOException {
        int open = sent - answered.get();
        if (open >= MAX_OPEN_REQUESTS) {
            return;
        }
        sent++;
        socket.getOutputStream().write(message(sent, "draft", fields(sent), new byte[BODY_BYTES]));
    }

    int sent() {
        return sent;
    }

    int served() {
        return served.get();
    }

    private static Map<String, String> fields(int number) {
        // a few functions get most requests
        int function = (int) (FUNCTIONS * Math.pow(number * 0.618_033_988_75 % 1, 2));
        return new TreeMap<>(Map.of(
                "rid",
                String.format("%016x", number),
                "budget",
                Long.toString(BUDGET_MILLIS),
                "acct",
                "tender",
                "obj",
                String.format("%016x", function),
                "extras",
                "memory_mb:100;lanes:2;load_ms:50"));
    }

    private static byte[] message(int number, String method, Map<String, String> fields, byte[] body)
            throws IOException {
        try (MessageBufferPacker out = MessagePack.newDefaultBufferPacker()) {
            out.packArrayHeader(4).packInt(0).packInt(number).packString(method);
            out.packArrayHeader(body == null ? 1 : 2).packMapHeader(fields.size());
            for (Map.Entry<String, String> field : fields.entrySet()) {
                out.packString(field.getKey()).packString(field.getValue());
            }
            if (body != null) {
                out.packBinaryHeader(body.length).writePayload(body);
            }
            return out.toByteArray();
        }
    }

    private void readAnswers() {
        try (MessageUnpacker answers = MessagePack.newDefaultUnpacker(socket.getInputStream())) {
            while (answers.hasNext()) {
                ArrayValue answer = answers.unpackValue().asArrayValue();
                answered.incrementAndGet();
                if (answer.get(2).isNilValue()) {
                    served.incrementAndGet();
                }
            }
        } catch (IOException closed) {
            // the measurement is over
        }
    }

    @Override
    public void close() throws IOException {
        socket.close();
    }
}
