package pearladder.cli;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.InetAddress;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/**
 * Guards against attempts for clients that left during a stall. The router process is paused and continued by signals
 * while each client sends one request and disconnects shortly after; the router must not send the request to a worker
 * after a stall in which its client left.
 */
class PlatformStallTest extends PlatformProcessFixture {
    private static final int CLIENTS = 48;
    private static final long SECONDS = 12;
    private static final int MAX_CONNECTED_MILLIS = 60;
    /** Maximum time after a client left at which the platform lets an attempt start. */
    private static final long CANCEL_TOLERANCE_MILLIS = 100;
    /**
     * One in this many requests may be late: a process can be paused between its last check of the client and the
     * system call that writes.
     */
    private static final int REQUESTS_PER_TOLERATED_LATE_ATTEMPT = 200;

    private final Map<String, Long> leftAt = new ConcurrentHashMap<>();
    private Process stallProcess;

    @AfterEach
    void endStallProcess() {
        if (stallProcess != null) {
            stallProcess.destroyForcibly();
        }
    }

    /** Repeatedly pauses the process for 150 ms and lets it run for 40 ms. */
    private void startStalls() throws IOException {
        stallProcess = new ProcessBuilder(
                        "/bin/sh",
                        "-c",
                        "for i in $(seq 500); do kill -STOP $0 && sleep 0.15 && kill -CONT $0 && sleep 0.04 || exit;"
                                + " done",
                        Long.toString(process.pid()))
                .start();
    }

    private byte[] draft(String id) throws IOException {
        return message(
                "draft",
                Map.of("rid", id, "budget", "2000", "acct", "tender", "obj", "00000000000000aa", "extras", "lanes:9"),
                new byte[] {'!'});
    }

    private void sendAndDisconnect(int port, String id, byte[] request, int connectedMillis) throws Exception {
        try (Socket socket = new Socket(InetAddress.getLoopbackAddress(), port)) {
            socket.getOutputStream().write(request);
            Thread.sleep(connectedMillis);
            leftAt.put(id, System.nanoTime());
        }
    }

    private Thread startClient(int port, int client, long untilNanos) {
        Thread thread = new Thread(() -> {
            Random random = new Random(client);
            for (int i = 0; System.nanoTime() < untilNanos; i++) {
                String id = String.format("%08x%08x", client, i);
                try {
                    sendAndDisconnect(port, id, draft(id), random.nextInt(MAX_CONNECTED_MILLIS));
                } catch (Exception closed) {
                    // the next request opens a new connection
                }
            }
        });
        thread.start();
        return thread;
    }

    @Test
    void requestReadBeforeAStallIsNotSentAfterItWhenItsClientHasLeft() throws Exception {
        try (DrainableWorker worker = new DrainableWorker("worker-0");
                OutageDiscovery discovery = new OutageDiscovery()) {
            int port = freePort();
            process = start(writeConfiguration(port, discovery.port(), worker.member()), Map.of());
            awaitReady(port);
            startStalls();
            long endNanos = System.nanoTime() + TimeUnit.SECONDS.toNanos(SECONDS);
            List<Thread> clients = new ArrayList<>();
            for (int client = 0; client < CLIENTS; client++) {
                clients.add(startClient(port, client, endNanos));
            }
            for (Thread thread : clients) {
                thread.join();
            }
            List<String> lateAttempts = new ArrayList<>();
            leftAt.forEach((id, left) -> worker.arrivalOf(id).ifPresent(arrival -> {
                long millis = TimeUnit.NANOSECONDS.toMillis(arrival - left);
                if (millis > CANCEL_TOLERANCE_MILLIS) {
                    lateAttempts.add(id + " reached a worker " + millis + " ms after its client had left");
                }
            }));
            long attempts = worker.newWorkSince(0).size();
            System.out.printf(
                    "stalls: %d requests, %d attempts, %d late%n", leftAt.size(), attempts, lateAttempts.size());
            assertTrue(attempts > CLIENTS, () -> attempts + " attempts\n" + log());
            assertTrue(
                    lateAttempts.size() * REQUESTS_PER_TOLERATED_LATE_ATTEMPT <= leftAt.size(),
                    () -> lateAttempts.size() + " of " + attempts + " attempts, " + leftAt.size() + " requests: "
                            + lateAttempts);
        }
    }
}
