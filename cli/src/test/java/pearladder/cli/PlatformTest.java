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

/** How the program starts, serves, follows its feed and ends. */
class PlatformTest extends PlatformProgram {
    @Test
    void itServesFollowsItsFeedToAnotherAddressAndEndsWithNothingLost() throws Exception {
        try (Worker one = new Worker("one");
                Worker two = new Worker("two")) {
            BlockingQueue<String> askedFirst = new LinkedBlockingQueue<>();
            BlockingQueue<String> askedNext = new LinkedBlockingQueue<>();
            HttpServer first = feed(null, askedFirst);
            int port = freePort();
            process = start(
                    configuration(port, first, one.member()),
                    Map.of("ROUTER_NAME", "practice", "ROUTER_LISTEN", "127.0.0.1:" + port));
            ready(port);
            call("00000000000000a1");
            assertEquals("one!", served(heard()));

            HttpServer next = feed(one.member().replace("in_service", "terminating") + "," + two.member(), askedNext);
            configuration(port, next, one.member());
            signal("HUP");
            assertEquals("SUB=1&wait=1000", askedNext.take(), "the numbers go on");
            while (!askedNext.take().startsWith("SUB=2")) {
                Thread.onSpinWait();
            }
            call("00000000000000a2");
            assertEquals("two!", served(heard()), "the drain and the new worker were heard there");

            Files.writeString(folder.resolve("config.json"), "{\"name\":");
            signal("HUP");
            askedNext.clear();
            askedNext.take();
            two.let = new CountDownLatch(1);
            call("00000000000000a3");
            assertEquals("00000000000000a2", two.called.take());
            assertEquals("00000000000000a3", two.called.take(), "a broken file changes nothing");
            signal("TERM");
            two.let.countDown();
            assertEquals("two!", served(heard()), "what is held gets its answer");
            assertTrue(process.waitFor(10, TimeUnit.SECONDS), this::log);
            assertEquals(0, process.exitValue(), this::log);
        }
    }

    /**
     * Guards against the drain rule broken at restarts: the address was open before the feed had been asked, and clients that
     * still held a killed router's address were sent to workers that drained since the configuration was written.
     */
    @Test
    void noClientIsHeardBeforeTheFeedWasAskedWhatHasChanged() throws Exception {
        try (Worker one = new Worker("one");
                Worker two = new Worker("two")) {
            BlockingQueue<String> asked = new LinkedBlockingQueue<>();
            CountDownLatch held = new CountDownLatch(1);
            HttpServer feed = feed(one.member().replace("in_service", "terminating") + "," + two.member(), asked, held);
            int port = freePort();
            process = start(configuration(port, feed, one.member()), Map.of());
            assertEquals("SUB=1&wait=0", asked.take());
            assertThrows(ConnectException.class, () -> new Socket(InetAddress.getLoopbackAddress(), port).close());
            held.countDown();
            connect(port);
            call("00000000000000a1");
            assertEquals("two!", served(heard()), "the first call of all, warm or not, knows of the drain");
            assertTrue(one.called.isEmpty());
        }
    }

    /** What the configuration tells is enough where the feed is down: refusing, or silent while open. */
    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void aRouterIsReadyWhileItsFeedIsDown(boolean silent) throws Exception {
        try (Worker one = new Worker("one")) {
            CountDownLatch held = new CountDownLatch(1);
            HttpServer feed = feed(null, new LinkedBlockingQueue<>(), held);
            int port = freePort();
            Path configuration = configuration(port, feed, one.member());
            if (!silent) {
                feed.stop(0);
            }
            long begun = System.nanoTime();
            process = start(configuration, Map.of());
            ready(port);
            assertTrue(System.nanoTime() - begun < TimeUnit.SECONDS.toNanos(10), this::log);
            call("00000000000000a1");
            assertEquals("one!", served(heard()));
            held.countDown();
        }
    }

    /**
     * Guards against a start that fails because another process, such as a predecessor that is still ending, holds the address
     * for a moment: the router exited with status 1 at once.
     */
    @Test
    void anAddressThatIsStillInUseIsTriedAgain() throws Exception {
        ServerSocket holder = new ServerSocket(0, 1, InetAddress.getLoopbackAddress());
        try (Worker one = new Worker("one")) {
            int port = holder.getLocalPort();
            process = start(configuration(port, feed(null, new LinkedBlockingQueue<>()), one.member()), Map.of());
            awaitLog("can't be listened on yet");
            assertFalse(process.waitFor(500, TimeUnit.MILLISECONDS), this::log);
            holder.close();
            ready(port);
            call("00000000000000a1");
            assertEquals("one!", served(heard()));
            assertEquals(
                    1, log().split("can't be listened on", -1).length - 1, "told once, not at each attempt: " + log());
        }
    }

    @Test
    void anAddressThatStaysInUseEndsTheRouterWithTheReasonInItsLog() throws Exception {
        try (ServerSocket holder = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            int port = holder.getLocalPort();
            process = start(configuration(port, feed(null, new LinkedBlockingQueue<>()), ""), Map.of());
            awaitLog("can't be listened on yet");
            assertTrue(process.waitFor(30, TimeUnit.SECONDS), this::log);
            assertEquals(1, process.exitValue(), this::log);
            String[] lines = log().split("\n");
            assertTrue(
                    lines[lines.length - 1].contains(
                            "127.0.0.1:" + port + " can't be listened on: Address already in use"),
                    this::log);
        }
    }

    private void awaitLog(String text) throws InterruptedException {
        while (!log().contains(text)) {
            assertTrue(process.isAlive(), this::log);
            Thread.sleep(10);
        }
    }

    /** Names come from the settings alone: nothing of the practice's stands in a log or an answer. */
    @Test
    void neitherLogNorAnswerHasAWordOfThePractice() throws Exception {
        try (Worker one = new Worker("barge")) {
            HttpServer feed = feed(null, new LinkedBlockingQueue<>());
            int port = freePort();
            Path file = configuration(port, feed, one.member());
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
            ready(port);
            call("00000000000000a1");
            String answer = heard().toString();
            assertTrue(answer.contains("unknown method"), answer);
            send(
                    "mill",
                    Map.of(
                            "rid",
                            "00000000000000a2",
                            "budget",
                            "3000",
                            "acct",
                            "silo",
                            "token",
                            "t1",
                            "obj",
                            "00000000000000aa"),
                    new byte[] {'!'});
            assertEquals("barge!", served(heard()));
            signal("TERM");
            assertTrue(process.waitFor(20, TimeUnit.SECONDS), this::log);
            for (String word : List.of("practice", "tender", "shipping", "draft", "commit", "hall", "worker-")) {
                assertFalse((log() + answer).contains(word), () -> word + " in " + log());
            }
        }
    }

    /** Guards against a heap that fits one deployment's memory only: a third of what the configuration states. */
    @ParameterizedTest
    @CsvSource({
        "'{\"limits\": {\"cores\": 0.5, \"memory_mb\" : 152, \"sockets\": 9}}', 50",
        "'{\"limits\":{\"memory_mb\":96}}', 32",
        "'{\"limits\":{}}', 48"
    })
    void theHeapIsAThirdOfTheMemoryThatTheConfigurationStates(String configuration, int heap) throws Exception {
        Path java = Files.writeString(folder.resolve("java"), "#!/bin/sh\necho \"$@\"\n");
        assertTrue(java.toFile().setExecutable(true));
        ProcessBuilder router =
                new ProcessBuilder("/bin/sh", Path.of("..", "deploy", "router").toString(), "platform");
        router.environment().put("PATH", folder + ":" + System.getenv("PATH"));
        router.environment()
                .put(
                        "ROUTER_CONFIG",
                        Files.writeString(folder.resolve("c.json"), configuration)
                                .toString());
        Process started = router.start();
        assertEquals(
                "-Xms" + heap + "m -Xmx" + heap + "m platform\n",
                new String(started.getInputStream().readAllBytes()));
        assertEquals(0, started.waitFor());
    }

    /** Guards against a router that hears of no new configuration, and nobody knows why: a JVM obeys an ignored SIGHUP. */
    @ParameterizedTest
    @ValueSource(strings = {"trap '' HUP; ", ""})
    void aSignalIgnoredByWhoStartedItIsToldInWords(String before) throws Exception {
        HttpServer feed = feed(null, new LinkedBlockingQueue<>());
        process = start(configuration(1, feed, ""), Map.of("ROUTER_NAME", "another"), before);
        assertEquals(2, process.waitFor());
        assertEquals(!before.isEmpty(), log().contains("ignores SIGHUP or SIGTERM"), this::log);
    }

    @Test
    void aConfigurationThatDisagreesOrCantBeReadIsToldInWords() throws Exception {
        HttpServer feed = feed(null, new LinkedBlockingQueue<>());
        Path good = configuration(1, feed, "");
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
