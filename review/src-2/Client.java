import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.Socket;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicLong;

/** A client's connection to a router, which reads all that it is sent and keeps each answer. */
final class Client implements AutoCloseable {
    /**
     * An answer, or the first of several.
     *
     * @param atNanos when it was read
     * @param served whether it is without an error
     * @param error the error's name, or null
     */
    record Answer(long atNanos, boolean served, String error) {}

    /** Requests sent and answers read on all connections of this process. */
    static final AtomicLong SENT = new AtomicLong();

    static final AtomicLong ANSWERED = new AtomicLong();

    final Socket socket;
    final Map<Long, Answer> answers = new ConcurrentHashMap<>();
    final Map<Long, Long> sentAt = new ConcurrentHashMap<>();
    volatile boolean closed;
    private long lastNumber;

    Client(int port) throws IOException {
        socket = new Socket(InetAddress.getByName("127.0.0.1"), port);
        socket.setTcpNoDelay(true);
        Cases.daemon("client", this::readAnswers);
    }

    private void readAnswers() throws IOException {
        try (InputStream in = new BufferedInputStream(socket.getInputStream())) {
            while (true) {
                onAnswer((List<?>) Msgpack.read(in));
            }
        } finally {
            closed = true;
        }
    }

    private void onAnswer(List<?> message) {
        long number = (Long) message.get(1);
        Object error = message.get(2);
        Object result = message.get(3);
        String name = error instanceof List<?> list ? String.valueOf(list.get(0)) : null;
        boolean served = error == null
                && !(result instanceof List<?> list && Boolean.FALSE.equals(list.get(0)));
        ANSWERED.incrementAndGet();
        answers.putIfAbsent(number, new Answer(System.nanoTime(), served, name));
    }

    /** Sends a request and returns its number. */
    synchronized long send(String method, Map<String, String> fields, byte[] body) throws IOException {
        long number = ++lastNumber;
        SENT.incrementAndGet();
        byte[] message = Msgpack.request(number, method, fields, body);
        sentAt.put(number, System.nanoTime());
        socket.getOutputStream().write(message);
        return number;
    }

    synchronized long sendCheck() throws IOException {
        long number = ++lastNumber;
        sentAt.put(number, System.nanoTime());
        socket.getOutputStream().write(Msgpack.check(number));
        return number;
    }

    /** Waits for an answer; null if none came in time or the connection ended without it. */
    Answer await(long number, long millis) throws InterruptedException {
        long until = System.nanoTime() + millis * 1_000_000;
        while (!answers.containsKey(number) && System.nanoTime() < until && !closed) {
            Thread.sleep(1);
        }
        return answers.get(number);
    }

    /** Returns the number of requests without an answer. */
    int open() {
        return sentAt.size() - answers.size();
    }

    int answered() {
        return answers.size();
    }

    @Override
    public void close() throws IOException {
        socket.close();
    }
}
