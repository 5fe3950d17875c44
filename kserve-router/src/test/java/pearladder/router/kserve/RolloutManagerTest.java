package pearladder.router.kserve;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static pearladder.router.kserve.RolloutTargets.target;

import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.net.URI;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;
import pearladder.emulator.Observation;
import pearladder.rollout.RolloutTarget;
import pearladder.rollout.RolloutTarget.Mode;

/** Rollouts at running routers, over sockets. */
class RolloutManagerTest {
    private static final ObjectMapper JSON = new ObjectMapper();
    private static final String CONFIG = RouterHarness.CONFIG + "copies: {orders: true, engine_memory: [4 GB]}\n";

    private static HttpResponse<String> sendTarget(RouterHarness harness, RolloutTarget target) throws IOException {
        return RouterHarness.await(harness.client.sendAsync(
                HttpRequest.newBuilder(adminUri(harness, "/releases"))
                        .POST(HttpRequest.BodyPublishers.ofString(JSON.writeValueAsString(target)))
                        .build(),
                HttpResponse.BodyHandlers.ofString()));
    }

    private static URI adminUri(RouterHarness harness, String path) {
        return URI.create("http://127.0.0.1:" + harness.router.adminPort() + path);
    }

    private static String status(RouterHarness harness) {
        return RouterHarness.await(harness.client.sendAsync(
                        HttpRequest.newBuilder(adminUri(harness, "/releases")).build(),
                        HttpResponse.BodyHandlers.ofString()))
                .body();
    }

    private static String version(HttpResponse<String> response) {
        return response.headers().firstValue("pearladder-version").orElse("");
    }

    private static Set<String> keysOnNewVersion(RouterHarness harness, int keys) {
        Set<String> keysOnNew = new HashSet<>();
        for (int i = 0; i < keys; i++) {
            HttpResponse<String> response =
                    RouterHarness.await(harness.send("pair-a", 1, "pearladder-key", "doc-" + i));
            if (version(response).equals("2")) {
                keysOnNew.add("doc-" + i);
            }
        }
        return keysOnNew;
    }

    @Test
    void aShareOfTheKeysGetsTheNewVersionOnceLoadedAndARollbackRestoresTheOld() throws IOException {
        try (RouterHarness harness = new RouterHarness(RouterHarness.FLEET_CONFIG.formatted(3), CONFIG)) {
            assertEquals("", version(RouterHarness.await(harness.send("pair-a", 1))));
            assertEquals(
                    200,
                    sendTarget(harness, target(1, "pair-a", Mode.RUNNING, 0)).statusCode());
            RouterHarness.awaitUntil("the instance is loaded and the step is reached", () -> status(harness)
                    .contains("share 0.25"));
            assertTrue(
                    harness.observations(Observation.LOAD_REQUESTED).stream()
                            .anyMatch(observation -> observation.model().equals("pair-a@2")),
                    "the new version is loaded in advance");
            Set<String> movedKeys = keysOnNewVersion(harness, 120);
            assertTrue(movedKeys.size() > 12 && movedKeys.size() < 50, "a quarter of 120: " + movedKeys.size());
            assertEquals(movedKeys, keysOnNewVersion(harness, 120), "a key keeps its version");
            long startedNanos = System.nanoTime();
            assertEquals(
                    200,
                    sendTarget(harness, target(2, "pair-a", Mode.ROLLED_BACK, 0))
                            .statusCode());
            assertEquals(Set.of(), keysOnNewVersion(harness, 40));
            assertTrue(System.nanoTime() - startedNanos < 2_000_000_000L, "old traffic is restored within 2 s");
            HttpResponse<String> explicitVersion = RouterHarness.await(harness.client.sendAsync(
                    HttpRequest.newBuilder(harness.uri("/v2/models/pair-a/versions/7/infer"))
                            .POST(HttpRequest.BodyPublishers.ofString("{}"))
                            .build(),
                    HttpResponse.BodyHandlers.ofString()));
            assertEquals("7", version(explicitVersion), "a request that names a version gets it");
        }
    }

    @Test
    void aRollbackWhileTheNewVersionLoadsSendsItNoRequests() throws IOException {
        try (RouterHarness harness = new RouterHarness(RouterHarness.FLEET_CONFIG.formatted(2), CONFIG)) {
            RouterHarness.await(harness.send("pair-slow", 1));
            sendTarget(harness, target(1, "pair-slow", Mode.RUNNING, 1));
            RouterHarness.awaitUntil(
                    "the load is requested", () -> harness.observations(Observation.LOAD_REQUESTED).stream()
                            .anyMatch(observation -> observation.model().equals("pair-slow@2")));
            assertEquals(
                    200,
                    sendTarget(harness, target(2, "pair-slow", Mode.ROLLED_BACK, 0))
                            .statusCode());
            assertEquals(
                    200,
                    sendTarget(harness, target(3, "pair-slow", Mode.ROLLED_BACK, 0))
                            .statusCode(),
                    "a repeated rollback is accepted");
            for (int i = 0; i < 20; i++) {
                HttpResponse<String> response =
                        RouterHarness.await(harness.send("pair-slow", 1, "pearladder-key", "k" + i));
                assertEquals("1", version(response));
            }
            assertTrue(harness.observations(Observation.ARRIVED).stream()
                    .noneMatch(observation -> observation.model().equals("pair-slow@2")));
        }
    }

    @Test
    void aVersionThatFailsEveryRequestIsRolledBackAutomatically() throws IOException {
        RawWorker.Script script = (number, head, out, socket) ->
                RawWorker.respond(out, head.contains("/versions/2/") ? 500 : 200, "pearladder-copy: stood\r\n", "{}");
        try (RawWorker one = new RawWorker(script);
                RawWorker two = new RawWorker(script);
                RouterHarness harness = RouterHarness.withWorkers(RouterHarness.CONFIG, one, two)) {
            sendTarget(harness, target(1, "pair-a", Mode.RUNNING, 0));
            RouterHarness.awaitUntil(
                    "the step is reached", () -> status(harness).contains("share 0.25"));
            for (int i = 0; i < 400 && !status(harness).contains("broken"); i++) {
                RouterHarness.await(harness.send("pair-a", 1, "pearladder-key", "doc-" + i));
            }
            assertTrue(status(harness).contains("broken, share 0.00"), status(harness));
            assertEquals("1", version(RouterHarness.await(harness.send("pair-a", 1, "pearladder-key", "doc-1"))));
        }
    }

    @Test
    void aTargetIsRestoredAfterARestartBeforeTheRouterIsReady() throws IOException {
        try (RouterHarness harness = new RouterHarness(RouterHarness.FLEET_CONFIG.formatted(2), CONFIG)) {
            sendTarget(harness, target(1, "pair-a", Mode.RUNNING, 1));
            sendTarget(harness, target(2, "pair-a", Mode.ROLLED_BACK, 0));
            RouterHarness.stop(harness.router);
            harness.restartRouter(CONFIG);
            assertTrue(status(harness).contains("epoch 2, rolled_back"), status(harness));
            HttpResponse<String> stale = sendTarget(harness, target(1, "pair-a", Mode.RUNNING, 1));
            assertEquals(409, stale.statusCode(), "a late target with an older epoch is refused");
            harness.awaitReady();
            assertEquals("1", version(RouterHarness.await(harness.send("pair-a", 1))));
        }
    }

    /** The router is down while targets are set by operators whose clocks differ by an hour. */
    @Test
    void aRestartedRouterSyncsTheNewestTargetFromAPeerBeforeItIsReady() throws IOException {
        try (RouterHarness harness = new RouterHarness(RouterHarness.FLEET_CONFIG.formatted(2), CONFIG)) {
            long hour = 3_600_000;
            RolloutTarget first = target(1, "pair-a", Mode.RUNNING, 1);
            RolloutTarget second = target(2, "pair-a", Mode.ROLLED_BACK, 0);
            sendTarget(harness, new RolloutTarget(1, first.plan(), first.mode(), 1, "ann", 5 * hour));
            String config = CONFIG + "releases: {learn_from: [\"127.0.0.1:" + harness.router.adminPort() + "\"]}\n";
            String discoveryAddress = harness.discoveryAddress();
            Router peer = harness.startRouter("r2", discoveryAddress, config);
            RouterHarness.awaitUntil("the peer fetches the target", () -> newestTargets(harness, peer)
                    .contains("\"epoch\":1"));
            RouterHarness.stop(peer);
            assertEquals(
                    200,
                    sendTarget(harness, new RolloutTarget(2, second.plan(), second.mode(), 0, "ben", 4 * hour))
                            .statusCode(),
                    "the higher epoch takes effect, regardless of the clocks");
            Router restarted = harness.startRouter("r2", discoveryAddress, config);
            try {
                awaitReadyWithoutDelay(harness, restarted);
                assertTrue(
                        newestTargets(harness, restarted).contains("\"epoch\":2"),
                        "the router became ready with an outdated target");
                sendTarget(harness, target(3, "pair-a", Mode.PAUSED, 0));
                RouterHarness.awaitUntil("later targets are fetched too", () -> newestTargets(harness, restarted)
                        .contains("\"epoch\":3"));
            } finally {
                RouterHarness.stop(restarted);
            }
            assertNoTargetsForKnownChecksum(harness);
        }
    }

    /** Polls without a pause, to observe the first moment at which the router is ready. */
    private static void awaitReadyWithoutDelay(RouterHarness harness, Router router) {
        URI uri = URI.create("http://127.0.0.1:" + router.port() + "/v2/health/ready");
        HttpRequest request = HttpRequest.newBuilder(uri).build();
        while (RouterHarness.await(harness.client.sendAsync(request, HttpResponse.BodyHandlers.discarding()))
                        .statusCode()
                != 200) {
            Thread.onSpinWait();
        }
    }

    private static void assertNoTargetsForKnownChecksum(RouterHarness harness) {
        String checksum = newestTargets(harness, harness.router).replaceAll(".*\"sum\":\"([0-9a-f]+)\".*", "$1");
        HttpRequest request = HttpRequest.newBuilder(adminUri(harness, "/releases/newest?sum=" + checksum))
                .build();
        HttpResponse<String> response =
                RouterHarness.await(harness.client.sendAsync(request, HttpResponse.BodyHandlers.ofString()));
        assertTrue(response.body().endsWith("\"targets\":[]}"), "known targets are not sent again");
    }

    private static String newestTargets(RouterHarness harness, Router router) {
        return RouterHarness.await(harness.client.sendAsync(
                        HttpRequest.newBuilder(
                                        URI.create("http://127.0.0.1:" + router.adminPort() + "/releases/newest"))
                                .build(),
                        HttpResponse.BodyHandlers.ofString()))
                .body();
    }

    /**
     * A router that crashes after a target is in its journal and before the operator gets the response accepts the
     * same target again.
     */
    @Test
    void aTargetWhoseResponseWasLostIsInEffectAndMayBeSentAgain() throws IOException {
        try (RouterHarness harness = new RouterHarness(RouterHarness.FLEET_CONFIG.formatted(1), CONFIG)) {
            RouterHarness.stop(harness.router);
            try (RolloutJournal journal = RolloutJournal.open(harness.directory.resolve("r1"))) {
                journal.append(List.of(target(1, "pair-a", Mode.PAUSED, 0)));
            }
            harness.restartRouter(CONFIG);
            assertTrue(status(harness).contains("epoch 1, paused"), status(harness));
            assertEquals(
                    200,
                    sendTarget(harness, target(1, "pair-a", Mode.PAUSED, 0)).statusCode());
            assertEquals(
                    409,
                    sendTarget(harness, target(1, "pair-a", Mode.RUNNING, 0)).statusCode());
        }
    }

    @Test
    void aReachedStepIsRestoredAfterARestart() throws IOException {
        try (RouterHarness harness = new RouterHarness(RouterHarness.FLEET_CONFIG.formatted(3), CONFIG)) {
            sendTarget(harness, target(1, "pair-a", Mode.RUNNING, 0));
            RouterHarness.awaitUntil(
                    "the step is reached", () -> status(harness).contains("share 0.25"));
            Set<String> movedKeys = keysOnNewVersion(harness, 80);
            RouterHarness.stop(harness.router);
            harness.restartRouter(CONFIG);
            harness.awaitReady();
            assertEquals(movedKeys, keysOnNewVersion(harness, 80), "a restart moves no key back");
        }
    }

    @Test
    void aVersionThatNeverLoadsAndOneWithoutATargetGetNoRequests() throws IOException {
        RawWorker.Script script = (number, head, out, socket) -> {
            if (head.contains("/load ")) {
                return;
            }
            String index = "[{\"name\":\"pair-a\",\"version\":\"9\",\"state\":\"READY\"},"
                    + "{\"name\":\"pair-a@9\",\"state\":\"READY\"}]";
            RawWorker.respond(
                    out,
                    200,
                    "pearladder-copy: stood\r\n",
                    head.contains("index")
                            ? index
                            : "{\"model_name\":\"pair-a\",\"model_version\":\"9\",\"outputs\":[]}");
        };
        try (RawWorker one = new RawWorker(script);
                RawWorker two = new RawWorker(script);
                RouterHarness harness = RouterHarness.withWorkers(CONFIG, one, two)) {
            sendTarget(harness, target(1, "pair-a", Mode.RUNNING, 1));
            RouterHarness.awaitUntil(
                    "the load is requested",
                    () -> one.requestHeads.stream().anyMatch(head -> head.contains("/load "))
                            || two.requestHeads.stream().anyMatch(head -> head.contains("/load ")));
            for (int i = 0; i < 60; i++) {
                HttpResponse<String> response =
                        RouterHarness.await(harness.send("pair-a", 1, "pearladder-key", "doc-" + i));
                assertEquals("settled", RouterHarness.outcome(response), "the old version continues to serve");
                assertEquals("1", version(response));
            }
            assertTrue(status(harness).contains("share 0.00"), status(harness));
            assertTrue(one.requestHeads.stream()
                    .noneMatch(head -> head.contains("versions/2/infer") || head.contains("versions/9/infer")));
        }
    }

    @Test
    void targetsOfManyModelsAreWrittenTogetherAndEachIsAnswered() throws IOException {
        try (RouterHarness harness = new RouterHarness(RouterHarness.FLEET_CONFIG.formatted(1), CONFIG)) {
            List<RolloutTarget> targets = new ArrayList<>();
            for (int i = 0; i < 200; i++) {
                targets.add(target(1, i == 70 ? "other" : "pair-" + i, Mode.PAUSED, 0));
            }
            HttpResponse<String> response = RouterHarness.await(harness.client.sendAsync(
                    HttpRequest.newBuilder(adminUri(harness, "/releases"))
                            .POST(HttpRequest.BodyPublishers.ofString(JSON.writeValueAsString(targets)))
                            .build(),
                    HttpResponse.BodyHandlers.ofString()));
            assertEquals(409, response.statusCode());
            assertEquals(200, JSON.readTree(response.body()).path("refused").size());
            assertTrue(JSON.readTree(response.body())
                    .path("refused")
                    .path(70)
                    .asText()
                    .contains("unknown model other"));
            assertEquals(199, JSON.readTree(status(harness)).path("targets").size());
        }
    }

    @Test
    void invalidTargetsAreRefusedWithAReason() throws IOException {
        try (RouterHarness harness = new RouterHarness(RouterHarness.FLEET_CONFIG.formatted(1), CONFIG)) {
            assertTrue(sendTarget(harness, target(1, "other", Mode.RUNNING, 0))
                    .body()
                    .contains("unknown model other"));
            assertEquals(
                    409,
                    sendTarget(harness, target(1, "pair-a", Mode.RUNNING, 5)).statusCode());
            for (String body : List.of("", "{", "[]", "{\"epoch\":1}", "{\"epoch\":\"x\"}")) {
                HttpResponse<String> response = RouterHarness.await(harness.client.sendAsync(
                        HttpRequest.newBuilder(adminUri(harness, "/releases"))
                                .POST(HttpRequest.BodyPublishers.ofString(body))
                                .build(),
                        HttpResponse.BodyHandlers.ofString()));
                assertEquals(400, response.statusCode(), body + " -> " + response.body());
            }
        }
    }
}
