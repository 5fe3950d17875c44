package pearladder.cli;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.sun.net.httpserver.HttpServer;
import java.net.ConnectException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** How the program starts, serves, follows discovery and ends. */
class PlatformTest extends PlatformProcessFixture {
    /** The fields of a request under the renamed configuration. */
    private static final Map<String, String> RENAMED_FIELDS = Map.of(
            "rid", "00000000000000a2", "budget", "3000", "acct", "silo", "token", "t1", "obj", "00000000000000aa");

    @Test
    void servesFollowsDiscoveryToANewAddressAndShutsDownGracefully() throws Exception {
        try (FakeWorker one = new FakeWorker("one");
                FakeWorker two = new FakeWorker("two")) {
            BlockingQueue<String> askedFirst = new LinkedBlockingQueue<>();
            BlockingQueue<String> askedNext = new LinkedBlockingQueue<>();
            HttpServer first = startDiscovery(null, askedFirst);
            int port = freePort();
            process = start(
                    writeConfiguration(port, first, one.member()),
                    Map.of("ROUTER_NAME", "practice", "ROUTER_LISTEN", "127.0.0.1:" + port));
            awaitReady(port);
            sendRequest("00000000000000a1");
            assertEquals("one!", successBody(receive()));

            HttpServer next =
                    startDiscovery(one.member().replace("in_service", "terminating") + "," + two.member(), askedNext);
            writeConfiguration(port, next, one.member());
            sendSignal("HUP");
            assertEquals("SUB=1&wait=1000", askedNext.take(), "the numbers go on");
            while (!askedNext.take().startsWith("SUB=2")) {
                Thread.onSpinWait();
            }
            sendRequest("00000000000000a2");
            assertEquals("two!", successBody(receive()), "the drain and the new worker were heard there");

            Files.writeString(folder.resolve("config.json"), "{\"name\":");
            sendSignal("HUP");
            askedNext.clear();
            askedNext.take();
            two.responseLatch = new CountDownLatch(1);
            sendRequest("00000000000000a3");
            assertEquals("00000000000000a2", two.receivedRequests.take());
            assertEquals("00000000000000a3", two.receivedRequests.take(), "a broken file changes nothing");
            sendSignal("TERM");
            two.responseLatch.countDown();
            assertEquals("two!", successBody(receive()), "what is held gets its answer");
            assertTrue(process.waitFor(10, TimeUnit.SECONDS), this::log);
            assertEquals(0, process.exitValue(), this::log);
        }
    }

    /**
     * Guards against requests to draining workers after a restart: the address was open before the first poll, and
     * clients that still used a killed router's address were sent to workers that began to drain after the
     * configuration was written.
     */
    @Test
    void noRequestIsServedBeforeDiscoveryWasPolled() throws Exception {
        try (FakeWorker one = new FakeWorker("one");
                FakeWorker two = new FakeWorker("two")) {
            BlockingQueue<String> asked = new LinkedBlockingQueue<>();
            CountDownLatch held = new CountDownLatch(1);
            HttpServer discovery =
                    startDiscovery(one.member().replace("in_service", "terminating") + "," + two.member(), asked, held);
            int port = freePort();
            process = start(writeConfiguration(port, discovery, one.member()), Map.of());
            assertEquals("SUB=1&wait=0", asked.take());
            assertThrows(ConnectException.class, () -> new Socket(InetAddress.getLoopbackAddress(), port).close());
            held.countDown();
            connect(port);
            sendRequest("00000000000000a1");
            assertEquals("two!", successBody(receive()), "the first call of all, warm or not, knows of the drain");
            assertTrue(one.receivedRequests.isEmpty());
        }
    }

    /** The known events are enough where discovery is down: refusing, or connected and silent. */
    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void routerIsReadyWhileDiscoveryIsDown(boolean silent) throws Exception {
        try (FakeWorker one = new FakeWorker("one")) {
            CountDownLatch held = new CountDownLatch(1);
            HttpServer discovery = startDiscovery(null, new LinkedBlockingQueue<>(), held);
            int port = freePort();
            Path configuration = writeConfiguration(port, discovery, one.member());
            if (!silent) {
                discovery.stop(0);
            }
            long begun = System.nanoTime();
            process = start(configuration, Map.of());
            awaitReady(port);
            assertTrue(System.nanoTime() - begun < TimeUnit.SECONDS.toNanos(10), this::log);
            sendRequest("00000000000000a1");
            assertEquals("one!", successBody(receive()));
            held.countDown();
        }
    }

    /**
     * Guards against a start that fails because another process, such as a predecessor that is still ending, holds the
     * address for a moment: the router exited with status 1 at once.
     */
    @Test
    void addressThatIsStillInUseIsTriedAgain() throws Exception {
        ServerSocket holder = new ServerSocket(0, 1, InetAddress.getLoopbackAddress());
        try (FakeWorker one = new FakeWorker("one")) {
            int port = holder.getLocalPort();
            HttpServer discovery = startDiscovery(null, new LinkedBlockingQueue<>());
            process = start(writeConfiguration(port, discovery, one.member()), Map.of());
            awaitLog("can't be listened on yet");
            assertFalse(process.waitFor(500, TimeUnit.MILLISECONDS), this::log);
            holder.close();
            awaitReady(port);
            sendRequest("00000000000000a1");
            assertEquals("one!", successBody(receive()));
            int logged = log().split("can't be listened on", -1).length - 1;
            assertEquals(1, logged, "told once, not at each attempt: " + log());
        }
    }

    @Test
    void addressThatStaysInUseEndsTheRouterWithTheReasonInItsLog() throws Exception {
        try (ServerSocket holder = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            int port = holder.getLocalPort();
            HttpServer discovery = startDiscovery(null, new LinkedBlockingQueue<>());
            process = start(writeConfiguration(port, discovery, ""), Map.of());
            awaitLog("can't be listened on yet");
            assertTrue(process.waitFor(30, TimeUnit.SECONDS), this::log);
            assertEquals(1, process.exitValue(), this::log);
            String[] lines = log().split("\n");
            String reason = "127.0.0.1:" + port + " can't be listened on: Address already in use";
            assertTrue(lines[lines.length - 1].contains(reason), this::log);
        }
    }

    private void awaitLog(String text) throws InterruptedException {
        while (!log().contains(text)) {
            assertTrue(process.isAlive(), this::log);
            Thread.sleep(10);
        }
    }

    /** Names come from the configuration alone: none of the warm-up configuration is in the log or a response. */
    @Test
    void logAndResponsesHoldNoNameOfTheWarmUpConfiguration() throws Exception {
        try (FakeWorker one = new FakeWorker("barge")) {
            HttpServer discovery = startDiscovery(null, new LinkedBlockingQueue<>());
            int port = freePort();
            Path file = writeConfiguration(port, discovery, one.member());
            Files.writeString(
                    file,
                    Files.readString(file)
                            .replace("practice", "lock-gate")
                            .replace("tender", "hopper")
                            .replace("shipping", "silo")
                            .replace("draft", "weigh")
                            .replace("commit", "mill")
                            .replace("hall", "quay"));
            process = start(file, Map.of());
            awaitReady(port);
            sendRequest("00000000000000a1");
            String answer = receive().toString();
            assertTrue(answer.contains("unknown method"), answer);
            send("mill", RENAMED_FIELDS, new byte[] {'!'});
            assertEquals("barge!", successBody(receive()));
            sendSignal("TERM");
            assertTrue(process.waitFor(20, TimeUnit.SECONDS), this::log);
            for (String word : List.of("practice", "tender", "shipping", "draft", "commit", "hall", "worker-")) {
                assertFalse((log() + answer).contains(word), () -> word + " in " + log());
            }
        }
    }

    /** Guards against a heap and direct memory that fit the memory of one deployment only. */
    @ParameterizedTest
    @CsvSource({
        "'{\"limits\": {\"cores\": 0.5, \"memory_mb\" : 152, \"sockets\": 9}}', 50, 25",
        "'{\"limits\":{\"memory_mb\":96}}', 32, 16",
        "'{\"limits\":{}}', 48, 24",
        "'{\"settings\":{\"limits\":{\"max\":3},\"Fields\":[\"memory_mb\"],\"memory_mb\":9},"
                + "\"limits\" :\n{\n\"memory_mb\" :\t96}}', 32, 16"
    })
    void heapIsAThirdAndDirectMemoryASixthOfTheConfiguredMemory(String configuration, int heap, int direct)
            throws Exception {
        Path java = Files.writeString(folder.resolve("java"), "#!/bin/sh\necho \"$@\"\n");
        assertTrue(java.toFile().setExecutable(true));
        ProcessBuilder router =
                new ProcessBuilder(Path.of("..", "deploy", "router").toString(), "platform");
        router.environment().put("PATH", folder + ":" + System.getenv("PATH"));
        router.environment()
                .put(
                        "ROUTER_CONFIG",
                        Files.writeString(folder.resolve("c.json"), configuration)
                                .toString());
        Process started = router.start();
        assertEquals(
                "-Xms" + heap + "m -Xmx" + heap + "m -XX:MaxDirectMemorySize=" + direct + "m platform\n",
                new String(started.getInputStream().readAllBytes()));
        assertEquals(0, started.waitFor());
    }

    /**
     * Guards against a router that ignores reloads without a word: a JVM never receives a signal that its parent
     * ignores.
     */
    @ParameterizedTest
    @ValueSource(strings = {"trap '' HUP; ", ""})
    void signalIgnoredByTheParentIsReported(String before) throws Exception {
        HttpServer discovery = startDiscovery(null, new LinkedBlockingQueue<>());
        process = start(writeConfiguration(1, discovery, ""), Map.of("ROUTER_NAME", "another"), before);
        assertEquals(2, process.waitFor());
        assertEquals(!before.isEmpty(), log().contains("ignores SIGHUP or SIGTERM"), this::log);
    }

    @Test
    void conflictingOrUnreadableConfigurationIsReported() throws Exception {
        HttpServer discovery = startDiscovery(null, new LinkedBlockingQueue<>());
        Path good = writeConfiguration(1, discovery, "");
        process = start(good, Map.of("ROUTER_NAME", "another"));
        assertEquals(2, process.waitFor());
        assertTrue(log().contains("ROUTER_NAME says another, the file practice"), this::log);
        process = start(folder.resolve("none.json"), Map.of());
        assertEquals(2, process.waitFor());
        assertTrue(log().contains("can't be read"), this::log);
        process = start(Files.writeString(folder.resolve("broken.json"), "{\"name\":\"n\", "), Map.of());
        assertEquals(2, process.waitFor());
        assertFalse(log().contains("\tat "), this::log);
    }
}
