package pearladder.router.kserve;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.Test;
import pearladder.emulator.Observation;
import pearladder.kserve.DiscoveryMessage.WorkerState;

class HardCasesTest {
    private static final RawEngine.Script NEVER = (number, head, out, socket) -> {};
    private static final RawEngine.Script CUT = (number, head, out, socket) -> socket.close();
    private static final RawEngine.Script OK = (number, head, out, socket) -> RawEngine.plain(out, 200, "", "{}");

    /** An engine answers for another model: its answer reaches nobody, and a call that may run again runs elsewhere. */
    @Test
    void anAnswerForAnotherModelSettlesNoCall() {
        RawEngine.Script wrong = (number, head, out, socket) ->
                RawEngine.plain(out, 200, "pearladder-copy: stood\r\n", "{\"model_name\":\"pair-b\",\"outputs\":[]}");
        RawEngine.Script right = (number, head, out, socket) -> RawEngine.plain(
                out, 200, "pearladder-copy: stood\r\n", "{\"id\":\"1\",\"model_name\":\"pair-a\",\"outputs\":[]}");
        try (RawEngine one = new RawEngine(wrong);
                RawEngine two = new RawEngine(right);
                Stand stand = Stand.of(one, two)) {
            for (int i = 0; i < 10; i++) {
                HttpResponse<String> answer = Stand.await(stand.send("pair-a", 1));
                assertTrue(!answer.body().contains("pair-b"), answer.body());
                HttpResponse<String> binding = Stand.await(stand.send("pair-a", 1, "pearladder-category", "post"));
                assertTrue(
                        !binding.body().contains("pair-b")
                                && !Stand.state(binding).equals("dismissed"),
                        binding.body());
            }
            assertTrue(one.heads.stream().anyMatch(head -> head.contains("/infer")), "the wrong one was asked as well");
        }
    }

    @Test
    void anEngineThatDrainsWhileItLoadsFinishesItsCallAndGetsNothingNew() {
        try (Stand stand = new Stand(2)) {
            CompletableFuture<HttpResponse<String>> waiting = stand.send("pair-slow", 5);
            Stand.until(
                    "the call arrives", () -> stand.seen(Observation.ARRIVED).size() == 1);
            String engine = stand.engineOf("pair-slow");
            stand.fleet.run(() -> stand.fleet.drain(engine));
            assertEquals("settled", Stand.state(Stand.await(waiting)));
            Stand.until("the router was told", () -> stand.seen(Observation.ENDPOINT_SENT).stream()
                    .anyMatch(one -> one.worker().equals(engine) && one.note().equals("DRAINING")));
            assertEquals("settled", Stand.state(Stand.await(stand.send("pair-slow", 5))));
            assertFalse(stand.engineOf("pair-slow").equals(engine));
        }
    }

    @Test
    void aClientThatLeavesWhileItsCallWaitsOnALoadIsOwedNothingAndItsCallNeverRuns() throws IOException {
        try (Stand stand = new Stand(1)) {
            Socket client = raw(stand, post("pair-slow", "pearladder-patience-ms: 3000\r\n", "{}"));
            Stand.until(
                    "the call arrives", () -> stand.seen(Observation.ARRIVED).size() == 1);
            client.close();
            Stand.until("the router saw it", () -> stand.metric("pearladder_clients_left_total") == 1);
            Stand.until("nothing is held", () -> stand.metric("pearladder_calls_open") == 0);
            Stand.until(
                    "the load came up all the same",
                    () -> stand.fleet.server("engine-0").worker().readyInstances("pair-slow") == 1);
            assertEquals(0, stand.seen(Observation.RAN).size());
        }
    }

    @Test
    void aBindingCallCutAfterItWasWrittenIsTerminatedAndNeverSentAgain() {
        try (RawEngine first = new RawEngine(CUT);
                RawEngine second = new RawEngine(CUT);
                Stand stand = Stand.of(first, second)) {
            HttpResponse<String> answer = Stand.await(stand.send("pair-a", 1, "pearladder-category", "post"));
            assertEquals("terminated", Stand.state(answer));
            assertEquals(502, answer.statusCode());
            assertEquals(1, first.heads.size() + second.heads.size());
        }
    }

    @Test
    void aFingerprintedCallCutAfterItWasWrittenIsRepeatedWithItsMark() {
        try (RawEngine first = new RawEngine(CUT);
                RawEngine second = new RawEngine(CUT);
                Stand stand = Stand.of(first, second)) {
            Stand.await(stand.send("pair-a", 1, "pearladder-category", "commit", "idempotency-key", "m-1"));
            List<String> heads = new ArrayList<>(first.heads);
            heads.addAll(second.heads);
            assertTrue(heads.size() > 1, "legs: " + heads.size());
            assertTrue(heads.stream().allMatch(head -> head.contains("idempotency-key: m-1")));
        }
    }

    @Test
    void aFingerprintedCallStaysWithinItsGroup() {
        String inHall = Stand.RULES.replace("remembered: 8 s", "remembered: 8 s, group: zone");
        try (RawEngine east = new RawEngine(CUT);
                RawEngine west = new RawEngine(CUT);
                Stand stand = Stand.of(inHall, east)) {
            stand.list("west", west.door.getLocalPort(), "west", WorkerState.IN_SERVICE);
            Stand.until("both are listed", () -> stand.metric("pearladder_engines_listed") == 2);
            for (int i = 0; i < 6; i++) {
                int before = east.heads.size();
                int beside = west.heads.size();
                HttpResponse<String> answer = Stand.await(
                        stand.send("pair-" + i, 1, "pearladder-category", "commit", "idempotency-key", "m-" + i));
                assertEquals("terminated", Stand.state(answer));
                assertTrue(east.heads.size() == before || west.heads.size() == beside, "call " + i + " left its hall");
            }
        }
    }

    @Test
    void anEngineThatIsNotThereProvesThatNothingRan() throws IOException {
        RawEngine gone = new RawEngine(OK);
        try (RawEngine there = new RawEngine(OK);
                Stand stand = Stand.of(gone, there)) {
            gone.close();
            for (int i = 0; i < 12; i++) {
                HttpResponse<String> answer = Stand.await(stand.send("pair-" + i, 1, "pearladder-category", "post"));
                assertEquals("settled", Stand.state(answer), "a binding call may go on after an unreachable engine");
            }
            assertEquals(0, gone.heads.size());
        }
    }

    @Test
    void aHungEngineCostsACallAtMostItsPatience() {
        try (RawEngine hung = new RawEngine(NEVER);
                Stand stand = Stand.of(hung)) {
            long begun = System.nanoTime();
            HttpResponse<String> answer = Stand.await(
                    stand.send("pair-a", 1, "pearladder-category", "post", "pearladder-patience-ms", "400"));
            long took = (System.nanoTime() - begun) / 1_000_000;
            assertEquals("terminated", Stand.state(answer));
            assertTrue(took >= 300, "given up after " + took + " ms");
            Stand.until("its connection is closed, so that the work stops", hung::allClosed);
        }
    }

    @Test
    void halfAnAnswerAMalformedOneAndOneTooLargeNeverReachTheClient() {
        String small = Stand.RULES + "limits: {answer: 10 KB}\n";
        RawEngine.Script script = (number, head, out, socket) -> {
            switch (number) {
                case 1 -> out.write(
                        "HTTP/1.1 200 OK\r\ncontent-length: 100\r\n\r\nhalf".getBytes(StandardCharsets.US_ASCII));
                case 2 -> out.write("this is no answer at all\r\n\r\n".getBytes(StandardCharsets.US_ASCII));
                case 3 -> RawEngine.plain(out, 200, "", "x".repeat(20_000));
                default -> RawEngine.plain(out, 200, "", "{\"whole\":true}");
            }
            if (number < 4) {
                out.flush();
                socket.close();
            }
        };
        try (RawEngine engine = new RawEngine(script);
                Stand stand = Stand.of(small, engine)) {
            for (int i = 0; i < 3; i++) {
                HttpResponse<String> answer = Stand.await(stand.send("pair-a", 1, "pearladder-category", "post"));
                assertEquals("terminated", Stand.state(answer), answer.body());
            }
        }
    }

    @Test
    void anEnginesFaultWithTheCallIsTheCallsAnswer() {
        RawEngine.Script script = (number, head, out, socket) -> RawEngine.plain(out, 400, "", "{\"error\":\"shape\"}");
        try (RawEngine engine = new RawEngine(script);
                Stand stand = Stand.of(engine)) {
            HttpResponse<String> answer = Stand.await(stand.send("pair-a", 1));
            assertEquals(400, answer.statusCode());
            assertEquals("settled", Stand.state(answer));
            assertEquals("{\"error\":\"shape\"}", answer.body());
            assertEquals(1, engine.heads.size());
        }
    }

    @Test
    void onlyARefusalWithItsProofLetsABindingCallGoOn() {
        RawEngine.Script proven =
                (number, head, out, socket) -> RawEngine.plain(out, 503, "pearladder-never-ran: full\r\n", "{}");
        RawEngine.Script bare = (number, head, out, socket) -> RawEngine.plain(out, 503, "", "{}");
        try (RawEngine full = new RawEngine(proven);
                Stand stand = Stand.of(full)) {
            assertEquals("dismissed", Stand.state(Stand.await(stand.send("pair-a", 1, "pearladder-category", "post"))));
        }
        try (RawEngine unsure = new RawEngine(bare);
                Stand stand = Stand.of(unsure)) {
            assertEquals(
                    "terminated", Stand.state(Stand.await(stand.send("pair-a", 1, "pearladder-category", "post"))));
            assertEquals(1, unsure.heads.size());
        }
    }

    /** The answer and the time-out meet at the same moment, many times over: whichever comes first, it comes alone. */
    @Test
    void anAnswerInTheInstantOfTheTimeOutIsTheOnlyOne() throws IOException {
        RawEngine.Script late = (number, head, out, socket) -> {
            java.util.concurrent.locks.LockSupport.parkNanos(136_000_000L + number * 400_000L);
            RawEngine.plain(out, 200, "", "{}");
        };
        try (RawEngine engine = new RawEngine(late);
                Stand stand = Stand.of(engine)) {
            List<Socket> clients = new ArrayList<>();
            for (int i = 0; i < 24; i++) {
                clients.add(raw(
                        stand,
                        post("pair-" + i, "pearladder-category: post\r\npearladder-patience-ms: 150\r\n", "{}")));
            }
            Stand.until(
                    "all have ended",
                    () -> stand.metric("pearladder_calls_open") == 0
                            && stand.metric("pearladder_calls_total{state=\"settled\"}")
                                            + stand.metric("pearladder_calls_total{state=\"dismissed\"}")
                                            + stand.metric("pearladder_calls_total{state=\"terminated\"}")
                                    == 24);
            for (Socket client : clients) {
                try (client) {
                    client.setSoTimeout(50);
                    assertEquals(1, answers(client), "final answers on one connection");
                }
            }
        }
    }

    @Test
    void twoThousandCallsAgainstOneDeadEngineAllGetTheirAnswer() {
        try (RawEngine hung = new RawEngine(NEVER);
                Stand stand = Stand.of(hung)) {
            List<CompletableFuture<HttpResponse<String>>> all = new ArrayList<>();
            for (int i = 0; i < 2000; i++) {
                all.add(stand.send("pair-" + i % 50, 1, "pearladder-patience-ms", "1500"));
            }
            for (CompletableFuture<HttpResponse<String>> one : all) {
                String state = Stand.state(Stand.await(one));
                assertTrue(state.equals("dismissed") || state.equals("terminated"), state);
            }
            Stand.until("nothing is held", () -> stand.metric("pearladder_calls_open") == 0);
            assertEquals(200, stand.get("/v2/health/live").statusCode());
        }
    }

    @Test
    void whatIsNoCallIsRefusedInWordsAndNeverTaken() throws IOException {
        String accounts =
                Stand.RULES + "accounts: {tender: {share: 0.5}}\nlimits: {payload: 1 KB, body_within: 300 ms}\n";
        try (RawEngine engine = new RawEngine(OK);
                Stand stand = Stand.of(accounts, engine)) {
            refused(stand, 400, "pearladder-account is missing", stand.call("pair-a", 1));
            refused(stand, 400, "unknown account", stand.call("pair-a", 1, "pearladder-account", "nobody"));
            refused(stand, 404, "unknown model", stand.call("other", 1, "pearladder-account", "tender"));
            refused(
                    stand,
                    400,
                    "unknown category",
                    stand.call("pair-a", 1, "pearladder-account", "tender", "pearladder-category", "no\"such"));
            refused(
                    stand,
                    400,
                    "idempotency-key",
                    stand.call("pair-a", 1, "pearladder-account", "tender", "pearladder-category", "commit"));
            refused(
                    stand,
                    400,
                    "milliseconds",
                    stand.call("pair-a", 1, "pearladder-account", "tender", "pearladder-patience-ms", "soon"));
            refused(
                    stand,
                    413,
                    "1000 bytes",
                    HttpRequest.newBuilder(stand.uri("/v2/models/pair-a/infer"))
                            .header("pearladder-account", "tender")
                            .POST(HttpRequest.BodyPublishers.ofString("x".repeat(2000))));
            refused(stand, 405, "takes POST", HttpRequest.newBuilder(stand.uri("/v2/models/pair-a/infer")));
            refused(stand, 404, "no such path", HttpRequest.newBuilder(stand.uri("/v3")));
            // a body that never comes whole is not waited for beyond its bound
            try (Socket slow = raw(
                    stand,
                    "POST /v2/models/pair-a/infer HTTP/1.1\r\nhost: x\r\n"
                            + "pearladder-account: tender\r\ncontent-length: 100\r\n\r\n{")) {
                slow.setSoTimeout(5000);
                assertTrue(new String(slow.getInputStream().readAllBytes(), StandardCharsets.US_ASCII)
                        .startsWith("HTTP/1.1 408"));
            }
            try (Socket garbage = raw(stand, "what is this\r\n\r\n")) {
                garbage.setSoTimeout(5000);
                String said = new String(garbage.getInputStream().readAllBytes(), StandardCharsets.US_ASCII);
                assertTrue(said.contains(" 400 Bad Request"), said);
            }
            assertEquals(0, engine.heads.size());
        }
    }

    private static void refused(Stand stand, int status, String words, HttpRequest.Builder request) {
        HttpResponse<String> answer =
                Stand.await(stand.client.sendAsync(request.build(), HttpResponse.BodyHandlers.ofString()));
        assertEquals(status, answer.statusCode(), answer.body());
        assertTrue(answer.body().startsWith("{\"error\":") && answer.body().contains(words), answer.body());
        assertEquals("", Stand.state(answer));
    }

    @Test
    void aClientThatNeverReadsHoldsUpNobodyElse() throws IOException {
        RawEngine.Script large = (number, head, out, socket) -> RawEngine.plain(out, 200, "", "y".repeat(8_000_000));
        try (RawEngine engine = new RawEngine(large);
                Stand stand = Stand.of(engine);
                Socket never = raw(stand, post("pair-a", "", "{}"))) {
            Stand.until(
                    "its answer is on its way", () -> stand.metric("pearladder_calls_total{state=\"settled\"}") == 1);
            HttpResponse<String> other = Stand.await(stand.send("pair-a", 1));
            assertEquals("settled", Stand.state(other));
            assertEquals(8_000_000, other.body().length());
            assertTrue(never.isConnected());
        }
    }

    @Test
    void aBodyOfMegabytesPassesUnread() {
        StringBuilder got = new StringBuilder();
        RawEngine.Script script = (number, head, out, socket) -> {
            got.append(head);
            RawEngine.plain(out, 200, "content-type: application/octet-stream\r\n", "done");
        };
        try (RawEngine engine = new RawEngine(script);
                Stand stand = Stand.of(engine)) {
            HttpResponse<String> answer = Stand.await(stand.client.sendAsync(
                    HttpRequest.newBuilder(stand.uri("/v2/models/pair-a/versions/3/infer"))
                            .header("content-type", "application/x-tensors")
                            .POST(HttpRequest.BodyPublishers.ofByteArray(new byte[9_000_000]))
                            .build(),
                    HttpResponse.BodyHandlers.ofString()));
            assertEquals("done", answer.body());
            assertTrue(got.toString().contains("content-length: 9000000"), got.toString());
            assertTrue(got.toString().contains("application/x-tensors"), got.toString());
            assertTrue(got.toString().startsWith("POST /v2/models/pair-a/versions/3/infer"), got.toString());
        }
    }

    static Socket raw(Stand stand, String request) throws IOException {
        Socket socket = new Socket("127.0.0.1", stand.router.port());
        socket.getOutputStream().write(request.getBytes(StandardCharsets.US_ASCII));
        socket.getOutputStream().flush();
        return socket;
    }

    static String post(String model, String headers, String body) {
        return "POST /v2/models/" + model + "/infer HTTP/1.1\r\nhost: x\r\n" + headers + "content-length: "
                + body.length() + "\r\n\r\n" + body;
    }

    /** How many answers come on a connection until it has been quiet for its time-out. */
    private static int answers(Socket socket) throws IOException {
        StringBuilder all = new StringBuilder();
        InputStream in = socket.getInputStream();
        try {
            int next;
            while ((next = in.read()) >= 0) {
                all.append((char) next);
            }
        } catch (java.net.SocketTimeoutException quiet) {
            return all.toString().split("HTTP/1\\.1 ", -1).length - 1;
        }
        return all.toString().split("HTTP/1\\.1 ", -1).length - 1;
    }
}
