package pearladder.cli.soak;

import java.io.IOException;
import java.net.InetAddress;
import java.net.Socket;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.ConcurrentHashMap;
import org.msgpack.core.MessageUnpacker;
import org.msgpack.value.ArrayValue;

/** An ordinary client of one router: some requests at a time, some of which it withdraws; it reconnects when closed. */
final class SoakClient {
    private static final int MAX_PAUSE_MILLIS = 150;
    private static final long MIN_BUDGET_MILLIS = 250;
    private static final int BUDGET_RANGE_MILLIS = 1200;
    private static final int MAX_BODY_BYTES = 3000;
    private static final int WITHDRAWN_PERCENT = 6;
    private static final int CLOSES_PERCENT = 1;

    private final SoakRouter router;
    private final Map<String, SoakRequest> requests;
    private final Random random;
    private final long idBase;
    private int idCount;

    /** @param requests receives each request before it is sent */
    SoakClient(SoakRouter router, Map<String, SoakRequest> requests, int number, long seed) {
        this.router = router;
        this.requests = requests;
        this.random = new Random(seed);
        this.idBase = (long) (number + 1) << 32;
    }

    /** Sends requests until a moment; a {@code nanoTime}. */
    Thread start(long until) {
        return Background.run(() -> {
            while (System.nanoTime() < until) {
                if (router.isOpenForRequests()) {
                    useOneConnection(until);
                }
                Thread.sleep(20);
            }
        });
    }

    private void useOneConnection(long until) throws InterruptedException {
        Map<Long, SoakRequest> open = new ConcurrentHashMap<>();
        int incarnation = router.incarnation();
        try (Socket socket = new Socket(InetAddress.getLoopbackAddress(), router.port)) {
            Background.run(() -> readAnswers(socket, open));
            for (int number = 1; System.nanoTime() < until && isOpen(incarnation); number++) {
                send(socket, number, incarnation, open);
                if (random.nextInt(100) < WITHDRAWN_PERCENT) {
                    withdraw(socket, number, open);
                }
                if (random.nextInt(100) < CLOSES_PERCENT) {
                    open.values().forEach(SoakRequest::onLeft);
                    return;
                }
                Thread.sleep(random.nextInt(MAX_PAUSE_MILLIS));
            }
            awaitAnswers(open);
        } catch (IOException closed) {
            open.values().forEach(SoakRequest::onConnectionLost);
        }
    }

    private boolean isOpen(int incarnation) {
        return router.isOpenForRequests() && router.incarnation() == incarnation;
    }

    private void send(Socket socket, int number, int incarnation, Map<Long, SoakRequest> open) throws IOException {
        SoakRequest.RequestClass[] classes = SoakRequest.RequestClass.values();
        SoakRequest.RequestClass requestClass = classes[random.nextInt(classes.length)];
        byte[] body = new byte[random.nextInt(MAX_BODY_BYTES)];
        random.nextBytes(body);
        String id = String.format("%016x", idBase + ++idCount);
        long budget = MIN_BUDGET_MILLIS + random.nextInt(BUDGET_RANGE_MILLIS);
        SoakRequest request = new SoakRequest(id, requestClass, budget, body, router, incarnation);
        requests.put(id, request);
        open.put((long) number, request);
        socket.getOutputStream().write(ClientWire.request(number, requestClass.method, id, budget, body));
    }

    private void withdraw(Socket socket, int number, Map<Long, SoakRequest> open)
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

    private static void readAnswers(Socket socket, Map<Long, SoakRequest> open) throws IOException {
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
            open.values().stream().filter(SoakRequest::isOpen).forEach(SoakRequest::onConnectionLost);
        }
    }
}
