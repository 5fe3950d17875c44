package pearladder.cli.soak;

import java.io.IOException;
import java.net.InetAddress;
import java.net.Socket;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicBoolean;
import org.msgpack.core.MessageUnpacker;
import org.msgpack.value.ArrayValue;

/** A well-behaved client of one router: pipelines requests, cancels some, and reconnects after a close. */
final class SoakClient {
    private static final int MAX_PAUSE_MILLIS = 150;
    /** Minimum budget of a request, as a fraction of the deadline of its class. */
    private static final double MIN_BUDGET_SHARE = 0.6;

    private static final int MAX_BODY_BYTES = 3000;
    private static final int CANCEL_PERCENT = 6;
    private static final int CLOSE_PERCENT = 1;

    private final SoakRouter router;
    private final SoakSettings settings;
    private final Map<String, SoakRequest> requests;
    private final Random random;
    private final long idBase;
    private int idCount;

    /** @param requests receives each request before it is sent */
    SoakClient(SoakRouter router, SoakSettings settings, Map<String, SoakRequest> requests, int number, long seed) {
        this.router = router;
        this.settings = settings;
        this.requests = requests;
        this.random = new Random(seed);
        this.idBase = (long) (number + 1) << 32;
    }

    /** Sends requests until the given {@code nanoTime}. */
    Thread start(long endNanos) {
        return Background.run(() -> {
            while (System.nanoTime() < endNanos) {
                if (router.isOpenForConnections()) {
                    sendOnOneConnection(endNanos);
                }
                Thread.sleep(20);
            }
        });
    }

    private void sendOnOneConnection(long endNanos) throws InterruptedException {
        Map<Long, SoakRequest> open = new ConcurrentHashMap<>();
        int incarnation = router.incarnation();
        try (Socket socket = new Socket(InetAddress.getLoopbackAddress(), router.port)) {
            AtomicBoolean ended = new AtomicBoolean();
            Background.run(() -> readAnswers(socket, open, ended));
            for (int number = 1; System.nanoTime() < endNanos && !ended.get(); number++) {
                send(socket, number, incarnation, open);
                if (random.nextInt(100) < CANCEL_PERCENT) {
                    cancel(socket, number, open);
                }
                if (random.nextInt(100) < CLOSE_PERCENT) {
                    open.values().forEach(SoakRequest::onLeft);
                    return;
                }
                Thread.sleep(random.nextInt(MAX_PAUSE_MILLIS));
            }
            if (ended.get()) {
                // the connection was closed while these requests were being written
                open.values().forEach(SoakRequest::onConnectionLost);
            }
            awaitAnswers(open);
        } catch (IOException closed) {
            open.values().forEach(SoakRequest::onConnectionLost);
        }
    }

    private void send(Socket socket, int number, int incarnation, Map<Long, SoakRequest> open) throws IOException {
        SoakRequest.RequestClass[] classes = SoakRequest.RequestClass.values();
        SoakRequest.RequestClass requestClass = classes[random.nextInt(classes.length)];
        byte[] body = new byte[random.nextInt(MAX_BODY_BYTES)];
        random.nextBytes(body);
        String id = String.format("%016x", idBase + ++idCount);
        long deadline = settings.deadlineMillis(requestClass);
        long budget = Math.round(deadline * (MIN_BUDGET_SHARE + (1 - MIN_BUDGET_SHARE) * random.nextDouble()));
        SoakRequest request = new SoakRequest(id, requestClass, budget, body, router.name, incarnation);
        requests.put(id, request);
        open.put((long) number, request);
        socket.getOutputStream().write(ClientWire.request(number, requestClass.method, id, budget, body));
    }

    private void cancel(Socket socket, int number, Map<Long, SoakRequest> open)
            throws IOException, InterruptedException {
        Thread.sleep(random.nextInt(MAX_PAUSE_MILLIS));
        SoakRequest request = open.remove((long) number);
        if (request != null) {
            socket.getOutputStream().write(ClientWire.interrupt(number));
            request.onLeft();
        }
    }

    private static void awaitAnswers(Map<Long, SoakRequest> open) throws InterruptedException {
        while (open.values().stream().anyMatch(request -> request.isOpen() && !SoakInvariants.isOverdue(request))) {
            Thread.sleep(10);
        }
    }

    private static void readAnswers(Socket socket, Map<Long, SoakRequest> open, AtomicBoolean ended)
            throws IOException {
        try (MessageUnpacker responses = ClientWire.reader(socket)) {
            while (true) {
                ArrayValue answer = responses.unpackValue().asArrayValue();
                SoakRequest request = open.get(answer.get(1).asIntegerValue().asLong());
                if (request != null) {
                    boolean successful = answer.get(2).isNilValue();
                    request.onAnswer(
                            successful,
                            successful
                                    ? answer.get(3)
                                            .asArrayValue()
                                            .get(0)
                                            .asBinaryValue()
                                            .asByteArray()
                                    : null);
                }
            }
        } finally {
            ended.set(true);
            open.values().stream().filter(SoakRequest::isOpen).forEach(SoakRequest::onConnectionLost);
        }
    }
}
