package pearladder.cli;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.net.InetAddress;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessagePack;
import org.msgpack.value.ArrayValue;

/**
 * Guards against missed deadlines when other clients send hundreds of requests at once and the router has only part of
 * a core. The process is paused and continued by signals to limit its CPU time.
 */
class PlatformFloodTest extends PlatformProcessFixture {
    private static final int FLOODING_CLIENTS = 24;
    private static final int REQUESTS_PER_CLIENT = 400;
    private static final long BUDGET_MILLIS = 200;
    /** The platform counts a request without an answer this long after its budget as lost. */
    private static final long LOST_AFTER_MILLIS = 500;

    enum Flood {
        /** Each request is followed by its own interrupt. */
        WITHDRAWN_AT_ONCE,
        /** All requests wait for their answers. */
        KEPT
    }

    private final List<Socket> floodingClients = new ArrayList<>();
    private Process throttle;

    @AfterEach
    void endFlood() throws IOException {
        if (throttle != null) {
            throttle.destroyForcibly();
        }
        for (Socket floodingClient : floodingClients) {
            floodingClient.close();
        }
    }

    private static String floodId(int index) {
        return String.format("f%015x", index);
    }

    private static byte[] interrupt(int number) throws IOException {
        try (MessageBufferPacker out = MessagePack.newDefaultBufferPacker()) {
            out.packArrayHeader(3)
                    .packInt(2)
                    .packString("interrupt")
                    .packArrayHeader(1)
                    .packInt(number);
            return out.toByteArray();
        }
    }

    private byte[] flood(Flood kind, int client) throws IOException {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        for (int i = 0; i < REQUESTS_PER_CLIENT; i++) {
            bytes.write(request(floodId(client * REQUESTS_PER_CLIENT + i), new byte[0]));
            if (kind == Flood.WITHDRAWN_AT_ONCE) {
                bytes.write(interrupt(lastMessageNumber));
            }
        }
        return bytes.toByteArray();
    }

    /** Limits the router to about half of a core. */
    private void throttle() throws IOException {
        throttle = new ProcessBuilder(
                        "/bin/sh",
                        "-c",
                        "for i in $(seq 2000); do kill -STOP $0 && sleep 0.009 && kill -CONT $0 && sleep 0.004 || exit;"
                                + " done",
                        Long.toString(process.pid()))
                .start();
    }

    private void startReady(FakeWorker worker) throws Exception {
        int port = freePort();
        process = start(
                writeConfiguration(port, startDiscovery(null, new LinkedBlockingQueue<>()), worker.member()), Map.of());
        awaitReady(port);
        for (int i = 0; i < FLOODING_CLIENTS; i++) {
            floodingClients.add(new Socket(InetAddress.getLoopbackAddress(), port));
        }
    }

    @ParameterizedTest
    @EnumSource(Flood.class)
    void deadlineOfARequestIsKeptWhileOtherClientsFlood(Flood kind) throws Exception {
        try (FakeWorker worker = new FakeWorker("one")) {
            startReady(worker);
            String id = "0000000000000001";
            worker.unansweredRequests.add(id);
            List<byte[]> floods = new ArrayList<>();
            for (int i = 0; i < FLOODING_CLIENTS; i++) {
                floods.add(flood(kind, i));
            }
            throttle();
            long sentAt = System.nanoTime();
            client.getOutputStream().write(request(id, new byte[0], BUDGET_MILLIS));
            assertEquals(id, worker.receivedRequests.poll(2, TimeUnit.SECONDS), this::log);
            for (int i = 0; i < FLOODING_CLIENTS; i++) {
                byte[] bytes = floods.get(i);
                Socket floodingClient = floodingClients.get(i);
                startDaemon(() -> floodingClient.getOutputStream().write(bytes));
            }
            ArrayValue answer = receive();
            long millis = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - sentAt);
            assertFalse(answer.get(2).isNilValue(), "the request succeeded although no worker answered it");
            assertTrue(
                    millis < BUDGET_MILLIS + LOST_AFTER_MILLIS,
                    () -> "answered after " + millis + " ms; budget in ms: " + BUDGET_MILLIS + "\n" + log());
        }
    }

    @Test
    void requestsWithdrawnInTheSameBytesReachNoWorker() throws Exception {
        try (FakeWorker worker = new FakeWorker("one")) {
            startReady(worker);
            floodingClients.get(0).getOutputStream().write(flood(Flood.WITHDRAWN_AT_ONCE, 0));
            String last = "0000000000000002";
            floodingClients.get(0).getOutputStream().write(request(last, new byte[0]));
            assertEquals(last, worker.receivedRequests.poll(5, TimeUnit.SECONDS), this::log);
            assertTrue(worker.receivedRequests.isEmpty());
        }
    }
}
