package pearladder.router.kserve;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.Socket;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import org.junit.jupiter.api.Test;

/** The inference server: metadata, refused requests, large bodies and slow clients. */
class InferenceServerTest {
    private static final RawWorker.Script SUCCESS =
            (number, head, out, socket) -> RawWorker.respond(out, 200, "", "{}");

    @Test
    void metadataAndHealthResponsesFollowTheProtocol() {
        try (RouterHarness harness = new RouterHarness(1)) {
            assertTrue(harness.get("/v2").body().startsWith("{\"name\":\"pearladder\""));
            assertEquals("{\"live\":true}", harness.get("/v2/health/live").body());
            assertEquals(200, harness.get("/v2/models/pair-a/ready").statusCode());
            assertEquals(404, harness.get("/v2/models/other").statusCode());
            assertTrue(harness.get("/v2/models/pair-a/versions/2").body().contains("\"versions\":[\"2\"]"));
            assertFalse(harness.get("/metrics").body().isEmpty());
        }
    }

    @Test
    void invalidRequestsAreRefusedWithAReasonAndNeverForwarded() throws IOException {
        String config = RouterHarness.CONFIG
                + "accounts: {tender: {share: 0.5}}\nlimits: {payload: 1 KB, body_within: 300 ms}\n";
        try (RawWorker worker = new RawWorker(SUCCESS);
                RouterHarness harness = RouterHarness.withWorkers(config, worker)) {
            assertRefused(harness, 400, "pearladder-account is missing", harness.inferRequest("pair-a", 1));
            assertRefused(
                    harness, 400, "unknown account", harness.inferRequest("pair-a", 1, "pearladder-account", "nobody"));
            assertRefused(
                    harness, 404, "unknown model", harness.inferRequest("other", 1, "pearladder-account", "tender"));
            assertRefused(
                    harness,
                    400,
                    "unknown category",
                    harness.inferRequest(
                            "pair-a", 1, "pearladder-account", "tender", "pearladder-category", "no\"such"));
            assertRefused(
                    harness,
                    400,
                    "idempotency-key",
                    harness.inferRequest("pair-a", 1, "pearladder-account", "tender", "pearladder-category", "commit"));
            assertRefused(
                    harness,
                    400,
                    "milliseconds",
                    harness.inferRequest(
                            "pair-a", 1, "pearladder-account", "tender", "pearladder-patience-ms", "soon"));
            assertRefused(
                    harness,
                    413,
                    "1000 bytes",
                    HttpRequest.newBuilder(harness.uri("/v2/models/pair-a/infer"))
                            .header("pearladder-account", "tender")
                            .POST(HttpRequest.BodyPublishers.ofString("x".repeat(2000))));
            assertWrongMethodAndPathAreRefused(harness);
            assertIncompleteBodyTimesOut(harness);
            assertMalformedRequestIsRefused(harness);
            assertEquals(0, worker.requestHeads.size());
        }
    }

    private static void assertRefused(RouterHarness harness, int status, String reason, HttpRequest.Builder request) {
        HttpResponse<String> response =
                RouterHarness.await(harness.client.sendAsync(request.build(), HttpResponse.BodyHandlers.ofString()));
        assertEquals(status, response.statusCode(), response.body());
        assertTrue(response.body().startsWith("{\"error\":") && response.body().contains(reason), response.body());
        assertEquals("", RouterHarness.outcome(response));
    }

    private static void assertWrongMethodAndPathAreRefused(RouterHarness harness) {
        assertRefused(harness, 405, "takes POST", HttpRequest.newBuilder(harness.uri("/v2/models/pair-a/infer")));
        assertRefused(harness, 404, "no such path", HttpRequest.newBuilder(harness.uri("/v3")));
    }

    private static void assertIncompleteBodyTimesOut(RouterHarness harness) throws IOException {
        String request = "POST /v2/models/pair-a/infer HTTP/1.1\r\nhost: x\r\n"
                + "pearladder-account: tender\r\ncontent-length: 100\r\n\r\n{";
        try (Socket slowClient = harness.sendRaw(request)) {
            assertTrue(readToEnd(slowClient).startsWith("HTTP/1.1 408"));
        }
    }

    private static void assertMalformedRequestIsRefused(RouterHarness harness) throws IOException {
        try (Socket client = harness.sendRaw("what is this\r\n\r\n")) {
            String received = readToEnd(client);
            assertTrue(received.contains(" 400 Bad Request"), received);
        }
    }

    private static String readToEnd(Socket socket) throws IOException {
        socket.setSoTimeout(5000);
        return new String(socket.getInputStream().readAllBytes(), StandardCharsets.US_ASCII);
    }

    @Test
    void aClientThatNeverReadsDelaysNoOtherClient() throws IOException {
        RawWorker.Script large = (number, head, out, socket) -> RawWorker.respond(out, 200, "", "y".repeat(8_000_000));
        try (RawWorker worker = new RawWorker(large);
                RouterHarness harness = RouterHarness.withWorkers(worker);
                Socket silentClient = harness.sendRaw(RouterHarness.postRequest("pair-a", "", "{}"))) {
            RouterHarness.awaitUntil(
                    "the response is being sent",
                    () -> harness.metric("pearladder_calls_total{state=\"settled\"}") == 1);
            HttpResponse<String> other = RouterHarness.await(harness.send("pair-a", 1));
            assertEquals("settled", RouterHarness.outcome(other));
            assertEquals(8_000_000, other.body().length());
            assertTrue(silentClient.isConnected());
        }
    }

    @Test
    void aLargeBodyIsForwardedUnparsed() {
        StringBuilder receivedHead = new StringBuilder();
        RawWorker.Script script = (number, head, out, socket) -> {
            receivedHead.append(head);
            RawWorker.respond(out, 200, "content-type: application/octet-stream\r\n", "done");
        };
        try (RawWorker worker = new RawWorker(script);
                RouterHarness harness = RouterHarness.withWorkers(worker)) {
            HttpResponse<String> response = RouterHarness.await(harness.client.sendAsync(
                    HttpRequest.newBuilder(harness.uri("/v2/models/pair-a/versions/3/infer"))
                            .header("content-type", "application/x-tensors")
                            .POST(HttpRequest.BodyPublishers.ofByteArray(new byte[9_000_000]))
                            .build(),
                    HttpResponse.BodyHandlers.ofString()));
            assertEquals("done", response.body());
            assertTrue(receivedHead.toString().contains("content-length: 9000000"), receivedHead.toString());
            assertTrue(receivedHead.toString().contains("application/x-tensors"), receivedHead.toString());
            assertTrue(
                    receivedHead.toString().startsWith("POST /v2/models/pair-a/versions/3/infer"),
                    receivedHead.toString());
        }
    }
}
