package pearladder.cli;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.msgpack.core.MessagePack;
import org.msgpack.value.ArrayValue;

/** Ends of clients, of the feed and of the process itself, each while something is owed. Signals are real ones. */
class PlatformCrossingsTest extends PlatformProgram {
    private static final int OPEN = 32;
    private static final int SMALL = 4096;
    private static final byte[] LARGE = new byte[15_000];

    enum Leaving {
        CLOSE,
        HALF_CLOSE,
        RESET
    }

    private int port;

    private void begin(Worker worker, HttpServer feed) throws Exception {
        port = freePort();
        process = start(configuration(port, feed, worker.member()), Map.of());
        ready(port);
    }

    private static String id(int number) {
        return String.format("%016x", number);
    }

    private void exits() throws Exception {
        assertTrue(process.waitFor(20, TimeUnit.SECONDS), this::log);
        assertEquals(0, process.exitValue(), this::log);
    }

    /** Waits until nothing new is taken any more, by a client of its own. */
    private void refuses() throws Exception {
        while (true) {
            try (Socket other = new Socket(InetAddress.getLoopbackAddress(), port)) {
                other.getOutputStream().write(message("check", Map.of(), null));
                ArrayValue answer = MessagePack.newDefaultUnpacker(other.getInputStream())
                        .unpackValue()
                        .asArrayValue();
                if (!answer.get(3).asArrayValue().get(0).asBooleanValue().getBoolean()) {
                    return;
                }
            }
        }
    }

    // ---- clients

    /** TCP shows the same for a client that only stops sending and for one that is gone: by the protocol both have left. */
    @ParameterizedTest
    @EnumSource(Leaving.class)
    void aClientThatLeavesIsHeardHoweverItLeaves(Leaving how) throws Exception {
        try (Worker worker = new Worker("one")) {
            begin(worker, feed(null, new LinkedBlockingQueue<>()));
            worker.held.add(id(1));
            call(id(1));
            assertEquals(id(1), worker.called.take());
            if (how == Leaving.HALF_CLOSE) {
                client.shutdownOutput();
            } else {
                client.setSoLinger(how == Leaving.RESET, 0);
                client.close();
            }
            assertEquals(id(1), worker.halted.take());
        }
    }

    @Test
    void aClientThatLeavesWhileItReadsNothingIsHeard() throws Exception {
        try (Worker worker = new Worker("one")) {
            begin(worker, feed(null, new LinkedBlockingQueue<>()));
            Socket slow = new Socket();
            slow.setReceiveBufferSize(SMALL);
            slow.connect(new InetSocketAddress(InetAddress.getLoopbackAddress(), port));
            worker.held.add(id(OPEN));
            for (int i = 1; i <= OPEN; i++) {
                slow.getOutputStream().write(request(id(i), LARGE));
                assertEquals(id(i), worker.called.take());
            }
            slow.close();
            // answers before it may still be on their way to the router: these are taken back as well
            String halted = worker.halted.take();
            while (!halted.equals(id(OPEN))) {
                halted = worker.halted.take();
            }
            assertEquals(id(OPEN), halted, "the one that is held for sure");
        }
    }

    // ---- a stop

    @Test
    void aRequestThatComesInPiecesAcrossTheStopIsAnswered() throws Exception {
        try (Worker worker = new Worker("one")) {
            begin(worker, feed(null, new LinkedBlockingQueue<>()));
            byte[] whole = request(id(1), LARGE);
            client.getOutputStream().write(whole, 0, whole.length / 2);
            signal("TERM");
            refuses();
            client.getOutputStream().write(whole, whole.length / 2, whole.length - whole.length / 2);
            assertEquals(
                    "Overloaded",
                    heard().get(2).asArrayValue().get(0).asStringValue().asString());
            exits();
        }
    }

    /** The process stands still while the machine takes the connection and its request; both it and the signal wait. */
    @Test
    void aConnectionThatOnlyTheMachineHasTakenBeforeTheStopIsServed() throws Exception {
        try (Worker worker = new Worker("one")) {
            begin(worker, feed(null, new LinkedBlockingQueue<>()));
            signal("STOP");
            try (Socket early = new Socket(InetAddress.getLoopbackAddress(), port)) {
                early.getOutputStream().write(request(id(1), new byte[] {'!'}));
                signal("TERM");
                signal("CONT");
                ArrayValue answer = MessagePack.newDefaultUnpacker(early.getInputStream())
                        .unpackValue()
                        .asArrayValue();
                assertEquals("one!", served(answer));
            }
            exits();
        }
    }

    @Test
    void aSecondStopChangesNothing() throws Exception {
        try (Worker worker = new Worker("one")) {
            begin(worker, feed(null, new LinkedBlockingQueue<>()));
            worker.let = new CountDownLatch(1);
            call(id(1));
            worker.called.take();
            signal("TERM");
            refuses();
            signal("TERM");
            refuses();
            worker.let.countDown();
            assertEquals("one!", served(heard()));
            exits();
        }
    }

    @Test
    void aStopBeforeItIsReadyEndsIt() throws Exception {
        try (Worker worker = new Worker("one")) {
            BlockingQueue<String> asked = new LinkedBlockingQueue<>();
            HttpServer feed = feed(null, asked, new CountDownLatch(1));
            process = start(configuration(freePort(), feed, worker.member()), Map.of());
            asked.take();
            signal("TERM");
            exits();
            assertFalse(log().contains("INFO  platform: ready"), this::log);
        }
    }

    /** Both signals wait until the process goes on; the drain stands only in the new file's known events. */
    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void aNewConfigurationTogetherWithAStopIsFollowedAndNothingHeldIsLost(boolean stop) throws Exception {
        try (Worker worker = new Worker("one");
                Worker two = new Worker("two")) {
            HttpServer feed = feed(null, new LinkedBlockingQueue<>());
            begin(worker, feed);
            worker.let = new CountDownLatch(1);
            call(id(1));
            worker.called.take();
            Path file = configuration(port, feed, worker.member());
            Files.writeString(
                    file,
                    Files.readString(file)
                            .replace("\"known\": {\"n\": 1, \"events\": [", "\"known\": {\"n\": 2, \"events\": [")
                            .replace(
                                    "]}}]}",
                                    "]}}, {\"n\": 2, \"members\": {\"version\": 8, \"full\": false, \"servers\": ["
                                            + worker.member().replace("in_service", "terminating") + ", " + two.member()
                                            + "]}}]}"));
            assertTrue(Files.readString(file).contains("terminating"), "the file tells of the drain");
            signal("STOP");
            signal("HUP");
            if (stop) {
                signal("TERM");
            }
            signal("CONT");
            while (!log().contains("the configuration was read again") || stop && !log().contains("stopping with")) {
                assertTrue(process.isAlive(), this::log);
            }
            call(id(2));
            assertEquals("two!", served(heard()), "what comes now goes past the drained one");
            worker.let.countDown();
            assertEquals("one!", served(heard()));
            if (!stop) {
                signal("TERM");
            }
            exits();
        }
    }

    /** The first new address never comes up: its listener's queue is full. The second is told meanwhile. */
    @Test
    void twoNewConfigurationsWhileTheFirstNewFeedIsBeingConnected() throws Exception {
        try (Worker worker = new Worker("one");
                Worker two = new Worker("two");
                ServerSocket never = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            List<Socket> fillers = new ArrayList<>();
            for (int i = 0; i < 3; i++) {
                Socket filler = new Socket();
                fillers.add(filler);
                try {
                    filler.connect(never.getLocalSocketAddress(), 200);
                } catch (IOException full) {
                    break;
                }
            }
            HttpServer first = feed(null, new LinkedBlockingQueue<>());
            begin(worker, first);
            BlockingQueue<String> asked = new LinkedBlockingQueue<>();
            HttpServer last = feed(worker.member().replace("in_service", "terminating") + "," + two.member(), asked);
            Path file = configuration(port, first, worker.member());
            Files.writeString(
                    file,
                    Files.readString(file)
                            .replace(
                                    Integer.toString(first.getAddress().getPort()),
                                    Integer.toString(never.getLocalPort())));
            signal("HUP");
            while (!log().contains("the feed moves from 127.0.0.1:"
                    + first.getAddress().getPort() + " to 127.0.0.1:" + never.getLocalPort())) {
                assertTrue(process.isAlive(), this::log);
            }
            configuration(port, last, worker.member());
            signal("HUP");
            assertEquals("SUB=1&wait=1000", asked.take());
            while (!asked.take().startsWith("SUB=2")) {
                assertTrue(process.isAlive(), this::log);
            }
            call(id(1));
            assertEquals("two!", served(heard()));
            for (Socket filler : fillers) {
                filler.close();
            }
        }
    }

    // ---- descriptors

    /** Every call of the feed needs a new connection here, and idle clients have taken all that clients may have. */
    @Test
    void idleClientsAtTheDescriptorsLimitCostNeitherTheFeedNorAnotherClient() throws Exception {
        try (Worker worker = new Worker("one")) {
            BlockingQueue<String> asked = new LinkedBlockingQueue<>();
            HttpServer feed = feed(null, asked);
            port = freePort();
            Path file = configuration(port, feed, worker.member());
            Files.writeString(file, Files.readString(file).replace("\"sockets\": 512", "\"sockets\": 300"));
            process = start(file, Map.of(), "ulimit -n 300; ");
            ready(port);
            List<Socket> idle = new ArrayList<>();
            for (int i = 0; i < 600; i++) {
                idle.add(new Socket(InetAddress.getLoopbackAddress(), port));
            }
            feed.stop(0);
            HttpServer again = HttpServer.create(feed.getAddress(), 50);
            CountDownLatch reached = new CountDownLatch(3);
            again.createContext("/v1/events", exchange -> {
                exchange.getResponseHeaders().set("connection", "close");
                byte[] answer = "{\"n\":1,\"events\":[]}".getBytes();
                exchange.sendResponseHeaders(200, answer.length);
                exchange.getResponseBody().write(answer);
                exchange.close();
                reached.countDown();
            });
            again.start();
            feeds.add(again);
            assertTrue(reached.await(5, TimeUnit.SECONDS), this::log);
            long begun = System.nanoTime();
            try (Socket other = new Socket(InetAddress.getLoopbackAddress(), port)) {
                other.getOutputStream().write(request(id(1), new byte[] {'!'}));
                assertNotNull(
                        MessagePack.newDefaultUnpacker(other.getInputStream()).unpackValue());
            }
            assertTrue(System.nanoTime() - begun < TimeUnit.SECONDS.toNanos(1), "accepting did not stop");
            assertFalse(log().contains("Too many open files"), this::log);
            for (Socket socket : idle) {
                socket.close();
            }
        }
    }

    /** Hundreds connect while the process stands still; it meets them all in its next turns. */
    @Test
    void aBurstWhileTheLoopIsLateDoesNotReachTheDescriptorsLimit() throws Exception {
        try (Worker worker = new Worker("one")) {
            port = freePort();
            Path file = configuration(port, feed(null, new LinkedBlockingQueue<>()), worker.member());
            Files.writeString(file, Files.readString(file).replace("\"sockets\": 512", "\"sockets\": 300"));
            process = start(file, Map.of(), "ulimit -n 300; ");
            ready(port);
            List<Socket> burst = new ArrayList<>();
            signal("STOP");
            for (int i = 0; i < 900; i++) {
                burst.add(new Socket(InetAddress.getLoopbackAddress(), port));
            }
            signal("CONT");
            Socket last = new Socket(InetAddress.getLoopbackAddress(), port);
            last.getOutputStream().write(request(id(1), new byte[] {'!'}));
            assertNotNull(MessagePack.newDefaultUnpacker(last.getInputStream()).unpackValue());
            assertFalse(log().contains("Too many open files"), this::log);
            last.close();
            for (Socket socket : burst) {
                socket.close();
            }
        }
    }

    // ---- a start

    @Test
    void aRouterWithoutAnyListIsNotReady() throws Exception {
        HttpServer feed = feed(null, new LinkedBlockingQueue<>());
        port = freePort();
        Path file = configuration(port, feed, "");
        Files.writeString(
                file, Files.readString(file).replaceAll("\"known\": .*", "\"known\": {\"n\": 0, \"events\": []},"));
        process = start(file, Map.of());
        connect(port);
        while (!log().contains("INFO  platform: ready")) {
            assertTrue(process.isAlive(), this::log);
        }
        send("check", Map.of(), null);
        assertFalse(heard().get(3).asArrayValue().get(0).asBooleanValue().getBoolean(), "no call could be served yet");
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "\"known\": 7,",
                "\"known\": {\"n\": 1, \"events\": [{\"n\": 1, \"members\": {\"servers\": [{\"id\": 3}]}}]},"
            })
    void aKnownListThatCantBeReadIsToldInWords(String known) throws Exception {
        HttpServer feed = feed(null, new LinkedBlockingQueue<>());
        Path file = configuration(freePort(), feed, "");
        Files.writeString(file, Files.readString(file).replaceAll("\"known\": .*", known));
        process = start(file, Map.of());
        assertEquals(2, process.waitFor());
        assertTrue(log().contains("known"), this::log);
        assertFalse(log().contains("\tat "), this::log);
    }
}
