package pearladder.router.kserve;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.locks.LockSupport;
import org.junit.jupiter.api.Test;
import pearladder.emulator.Observation;
import pearladder.kserve.DiscoveryMessage.WorkerState;

/** What clients see of workers that fail, drain, hang or break the protocol. */
class WorkerFailureTest {
    private static final RawWorker.Script NO_RESPONSE = (number, head, out, socket) -> {};
    private static final RawWorker.Script CLOSE_CONNECTION = (number, head, out, socket) -> socket.close();
    private static final RawWorker.Script SUCCESS =
            (number, head, out, socket) -> RawWorker.respond(out, 200, "", "{}");

    /** A response for another model reaches no client; an idempotent request is retried elsewhere. */
    @Test
    void aResponseForAnotherModelCompletesNoRequest() {
        RawWorker.Script wrongModel = (number, head, out, socket) ->
                RawWorker.respond(out, 200, "pearladder-copy: stood\r\n", "{\"model_name\":\"pair-b\",\"outputs\":[]}");
        RawWorker.Script rightModel = (number, head, out, socket) -> RawWorker.respond(
                out, 200, "pearladder-copy: stood\r\n", "{\"id\":\"1\",\"model_name\":\"pair-a\",\"outputs\":[]}");
        try (RawWorker wrongWorker = new RawWorker(wrongModel);
                RawWorker rightWorker = new RawWorker(rightModel);
                RouterHarness harness = RouterHarness.withWorkers(wrongWorker, rightWorker)) {
            for (int i = 0; i < 10; i++) {
                HttpResponse<String> response = RouterHarness.await(harness.send("pair-a", 1));
                assertTrue(!response.body().contains("pair-b"), response.body());
                HttpResponse<String> nonIdempotent =
                        RouterHarness.await(harness.send("pair-a", 1, "pearladder-category", "post"));
                assertTrue(
                        !nonIdempotent.body().contains("pair-b")
                                && !RouterHarness.outcome(nonIdempotent).equals("dismissed"),
                        nonIdempotent.body());
            }
            assertTrue(
                    wrongWorker.requestHeads.stream().anyMatch(head -> head.contains("/infer")),
                    "the worker with the wrong model received requests too");
        }
    }

    @Test
    void aWorkerThatDrainsWhileLoadingFinishesItsRequestAndGetsNoNewOne() {
        try (RouterHarness harness = new RouterHarness(2)) {
            CompletableFuture<HttpResponse<String>> waiting = harness.send("pair-slow", 5);
            RouterHarness.awaitUntil(
                    "the request arrives",
                    () -> harness.observations(Observation.ARRIVED).size() == 1);
            String worker = harness.workerOf("pair-slow");
            harness.fleet.run(() -> harness.fleet.drain(worker));
            assertEquals("settled", RouterHarness.outcome(RouterHarness.await(waiting)));
            RouterHarness.awaitUntil(
                    "discovery sent the draining state", () -> harness.observations(Observation.ENDPOINT_SENT).stream()
                            .anyMatch(observation -> observation.worker().equals(worker)
                                    && observation.note().equals("DRAINING")));
            assertEquals("settled", RouterHarness.outcome(RouterHarness.await(harness.send("pair-slow", 5))));
            assertFalse(harness.workerOf("pair-slow").equals(worker));
        }
    }

    @Test
    void aRequestWhoseClientDisconnectsDuringALoadIsNeverExecuted() throws IOException {
        try (RouterHarness harness = new RouterHarness(1)) {
            Socket client =
                    harness.sendRaw(RouterHarness.postRequest("pair-slow", "pearladder-patience-ms: 3000\r\n", "{}"));
            RouterHarness.awaitUntil(
                    "the request arrives",
                    () -> harness.observations(Observation.ARRIVED).size() == 1);
            client.close();
            RouterHarness.awaitUntil(
                    "the router detects the disconnect", () -> harness.metric("pearladder_clients_left_total") == 1);
            RouterHarness.awaitUntil("no request is in flight", () -> harness.metric("pearladder_calls_open") == 0);
            RouterHarness.awaitUntil(
                    "the load completes nevertheless",
                    () -> harness.fleet.server("engine-0").worker().readyInstances("pair-slow") == 1);
            assertEquals(0, harness.observations(Observation.RAN).size());
        }
    }

    @Test
    void aNonIdempotentRequestCutAfterItWasWrittenFailsAndIsNotRetried() {
        try (RawWorker first = new RawWorker(CLOSE_CONNECTION);
                RawWorker second = new RawWorker(CLOSE_CONNECTION);
                RouterHarness harness = RouterHarness.withWorkers(first, second)) {
            HttpResponse<String> response =
                    RouterHarness.await(harness.send("pair-a", 1, "pearladder-category", "post"));
            assertEquals("terminated", RouterHarness.outcome(response));
            assertEquals(502, response.statusCode());
            assertEquals(1, first.requestHeads.size() + second.requestHeads.size());
        }
    }

    @Test
    void aRequestIdempotentByKeyIsRetriedWithItsKeyAfterItWasWritten() {
        try (RawWorker first = new RawWorker(CLOSE_CONNECTION);
                RawWorker second = new RawWorker(CLOSE_CONNECTION);
                RouterHarness harness = RouterHarness.withWorkers(first, second)) {
            RouterHarness.await(harness.send("pair-a", 1, "pearladder-category", "commit", "idempotency-key", "m-1"));
            List<String> heads = new ArrayList<>(first.requestHeads);
            heads.addAll(second.requestHeads);
            assertTrue(heads.size() > 1, "attempts: " + heads.size());
            assertTrue(heads.stream().allMatch(head -> head.contains("idempotency-key: m-1")));
        }
    }

    @Test
    void aRequestIdempotentByKeyStaysWithinItsDeduplicationScope() {
        String configWithZoneScope = RouterHarness.CONFIG.replace("remembered: 8 s", "remembered: 8 s, group: zone");
        try (RawWorker east = new RawWorker(CLOSE_CONNECTION);
                RawWorker west = new RawWorker(CLOSE_CONNECTION);
                RouterHarness harness = RouterHarness.withWorkers(configWithZoneScope, east)) {
            harness.announce("west", west.serverSocket.getLocalPort(), "west", WorkerState.IN_SERVICE);
            RouterHarness.awaitUntil("both are listed", () -> harness.metric("pearladder_engines_listed") == 2);
            for (int i = 0; i < 6; i++) {
                int eastBefore = east.requestHeads.size();
                int westBefore = west.requestHeads.size();
                HttpResponse<String> response = RouterHarness.await(
                        harness.send("pair-" + i, 1, "pearladder-category", "commit", "idempotency-key", "m-" + i));
                assertEquals("terminated", RouterHarness.outcome(response));
                assertTrue(
                        east.requestHeads.size() == eastBefore || west.requestHeads.size() == westBefore,
                        "request " + i + " left its zone");
            }
        }
    }

    @Test
    void anUnreachableWorkerProvesThatNothingWasExecuted() throws IOException {
        RawWorker unreachable = new RawWorker(SUCCESS);
        try (RawWorker reachable = new RawWorker(SUCCESS);
                RouterHarness harness = RouterHarness.withWorkers(unreachable, reachable)) {
            unreachable.close();
            for (int i = 0; i < 12; i++) {
                HttpResponse<String> response =
                        RouterHarness.await(harness.send("pair-" + i, 1, "pearladder-category", "post"));
                assertEquals(
                        "settled",
                        RouterHarness.outcome(response),
                        "a non-idempotent request may be retried after an unreachable worker");
            }
            assertEquals(0, unreachable.requestHeads.size());
        }
    }

    @Test
    void aHungWorkerDelaysARequestAtMostUntilItsDeadline() {
        try (RawWorker hung = new RawWorker(NO_RESPONSE);
                RouterHarness harness = RouterHarness.withWorkers(hung)) {
            long startedNanos = System.nanoTime();
            HttpResponse<String> response = RouterHarness.await(
                    harness.send("pair-a", 1, "pearladder-category", "post", "pearladder-patience-ms", "400"));
            long elapsedMillis = (System.nanoTime() - startedNanos) / 1_000_000;
            assertEquals("terminated", RouterHarness.outcome(response));
            assertTrue(elapsedMillis >= 300, "failed after " + elapsedMillis + " ms");
            RouterHarness.awaitUntil("its connection is closed, so that the work stops", hung::areAllConnectionsClosed);
        }
    }

    @Test
    void partialMalformedAndOversizedResponsesNeverReachTheClient() {
        String config = RouterHarness.CONFIG + "limits: {answer: 10 KB}\n";
        RawWorker.Script script = (number, head, out, socket) -> {
            switch (number) {
                case 1 -> out.write(
                        "HTTP/1.1 200 OK\r\ncontent-length: 100\r\n\r\nhalf".getBytes(StandardCharsets.US_ASCII));
                case 2 -> out.write("this is no answer at all\r\n\r\n".getBytes(StandardCharsets.US_ASCII));
                case 3 -> RawWorker.respond(out, 200, "", "x".repeat(20_000));
                default -> RawWorker.respond(out, 200, "", "{\"whole\":true}");
            }
            if (number < 4) {
                out.flush();
                socket.close();
            }
        };
        try (RawWorker worker = new RawWorker(script);
                RouterHarness harness = RouterHarness.withWorkers(config, worker)) {
            for (int i = 0; i < 3; i++) {
                HttpResponse<String> response =
                        RouterHarness.await(harness.send("pair-a", 1, "pearladder-category", "post"));
                assertEquals("terminated", RouterHarness.outcome(response), response.body());
            }
        }
    }

    @Test
    void aWorkersClientErrorIsTheResponse() {
        RawWorker.Script script =
                (number, head, out, socket) -> RawWorker.respond(out, 400, "", "{\"error\":\"shape\"}");
        try (RawWorker worker = new RawWorker(script);
                RouterHarness harness = RouterHarness.withWorkers(worker)) {
            HttpResponse<String> response = RouterHarness.await(harness.send("pair-a", 1));
            assertEquals(400, response.statusCode());
            assertEquals("settled", RouterHarness.outcome(response));
            assertEquals("{\"error\":\"shape\"}", response.body());
            assertEquals(1, worker.requestHeads.size());
        }
    }

    @Test
    void aNonIdempotentRequestIsRejectedOnlyWithProofThatItNeverRan() {
        RawWorker.Script proven =
                (number, head, out, socket) -> RawWorker.respond(out, 503, "pearladder-never-ran: full\r\n", "{}");
        RawWorker.Script unproven = (number, head, out, socket) -> RawWorker.respond(out, 503, "", "{}");
        try (RawWorker withProof = new RawWorker(proven);
                RouterHarness harness = RouterHarness.withWorkers(withProof)) {
            assertEquals(
                    "dismissed",
                    RouterHarness.outcome(
                            RouterHarness.await(harness.send("pair-a", 1, "pearladder-category", "post"))));
        }
        try (RawWorker withoutProof = new RawWorker(unproven);
                RouterHarness harness = RouterHarness.withWorkers(withoutProof)) {
            assertEquals(
                    "terminated",
                    RouterHarness.outcome(
                            RouterHarness.await(harness.send("pair-a", 1, "pearladder-category", "post"))));
            assertEquals(1, withoutProof.requestHeads.size());
        }
    }

    /** Response and timeout come at nearly the same time, at varying intervals: only the first of them is sent. */
    @Test
    void onlyOneResponseIsSentAtTheTimeout() throws IOException {
        RawWorker.Script late = (number, head, out, socket) -> {
            LockSupport.parkNanos(136_000_000L + number * 400_000L);
            RawWorker.respond(out, 200, "", "{}");
        };
        try (RawWorker worker = new RawWorker(late);
                RouterHarness harness = RouterHarness.withWorkers(worker)) {
            List<Socket> clients = new ArrayList<>();
            for (int i = 0; i < 24; i++) {
                clients.add(harness.sendRaw(RouterHarness.postRequest(
                        "pair-" + i, "pearladder-category: post\r\npearladder-patience-ms: 150\r\n", "{}")));
            }
            RouterHarness.awaitUntil(
                    "all requests have ended",
                    () -> harness.metric("pearladder_calls_open") == 0
                            && harness.metric("pearladder_calls_total{state=\"settled\"}")
                                            + harness.metric("pearladder_calls_total{state=\"dismissed\"}")
                                            + harness.metric("pearladder_calls_total{state=\"terminated\"}")
                                    == 24);
            for (Socket client : clients) {
                try (client) {
                    client.setSoTimeout(50);
                    assertEquals(1, countResponses(client), "responses on one connection");
                }
            }
        }
    }

    @Test
    void twoThousandRequestsToOneHungWorkerAreAllAnswered() {
        try (RawWorker hung = new RawWorker(NO_RESPONSE);
                RouterHarness harness = RouterHarness.withWorkers(hung)) {
            List<CompletableFuture<HttpResponse<String>>> responses = new ArrayList<>();
            for (int i = 0; i < 2000; i++) {
                responses.add(harness.send("pair-" + i % 50, 1, "pearladder-patience-ms", "1500"));
            }
            for (CompletableFuture<HttpResponse<String>> pending : responses) {
                String outcome = RouterHarness.outcome(RouterHarness.await(pending));
                assertTrue(outcome.equals("dismissed") || outcome.equals("terminated"), outcome);
            }
            RouterHarness.awaitUntil("no request is in flight", () -> harness.metric("pearladder_calls_open") == 0);
            assertEquals(200, harness.get("/v2/health/live").statusCode());
        }
    }

    /** Counts the responses on a connection until nothing is received within its read timeout. */
    private static int countResponses(Socket socket) throws IOException {
        StringBuilder received = new StringBuilder();
        InputStream in = socket.getInputStream();
        try {
            int next;
            while ((next = in.read()) >= 0) {
                received.append((char) next);
            }
        } catch (SocketTimeoutException quiet) {
            return received.toString().split("HTTP/1\\.1 ", -1).length - 1;
        }
        return received.toString().split("HTTP/1\\.1 ", -1).length - 1;
    }
}
