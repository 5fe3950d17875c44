package pearladder.router.kserve;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.net.URI;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import pearladder.emulator.Observation;
import pearladder.rollout.RolloutPlan;
import pearladder.rollout.RolloutProgress;
import pearladder.rollout.RolloutTarget;
import pearladder.rollout.RolloutTarget.Mode;
import pearladder.routing.api.TimeSpan;

/** Gradual versions over sockets, and the journal of orders. */
class ReleaseTest {
    private static final ObjectMapper JSON = new ObjectMapper();
    private static final String RULES = Stand.RULES + "copies: {orders: true, engine_memory: [4 GB]}\n";

    private static RolloutTarget target(long epoch, String model, Mode mode, int step) {
        RolloutPlan plan = new RolloutPlan(
                model,
                "1",
                "2",
                List.of(0.25, 1.0),
                TimeSpan.seconds(60),
                50,
                new RolloutPlan.Gate(0.1, 0.01, 0.05),
                RolloutPlan.Breach.ROLL_BACK);
        return new RolloutTarget(epoch, plan, mode, step, "ops", 0);
    }

    private static HttpResponse<String> order(Stand stand, RolloutTarget target) throws IOException {
        return Stand.await(stand.client.sendAsync(
                HttpRequest.newBuilder(admin(stand, "/releases"))
                        .POST(HttpRequest.BodyPublishers.ofString(JSON.writeValueAsString(target)))
                        .build(),
                HttpResponse.BodyHandlers.ofString()));
    }

    private static URI admin(Stand stand, String path) {
        return URI.create("http://127.0.0.1:" + stand.router.adminPort() + path);
    }

    private static String status(Stand stand) {
        return Stand.await(stand.client.sendAsync(
                        HttpRequest.newBuilder(admin(stand, "/releases")).build(),
                        HttpResponse.BodyHandlers.ofString()))
                .body();
    }

    private static String version(HttpResponse<String> answer) {
        return answer.headers().firstValue("pearladder-version").orElse("");
    }

    private static Set<String> onNew(Stand stand, int keys) {
        Set<String> news = new HashSet<>();
        for (int i = 0; i < keys; i++) {
            HttpResponse<String> answer = Stand.await(stand.send("pair-a", 1, "pearladder-key", "doc-" + i));
            if (version(answer).equals("2")) {
                news.add("doc-" + i);
            }
        }
        return news;
    }

    @Test
    void aShareOfTheKeysGetsTheNewVersionOnceItStandsAndOneOrderTakesItBack() throws IOException {
        try (Stand stand = new Stand(Stand.FLEET.formatted(3), RULES)) {
            assertEquals("", version(Stand.await(stand.send("pair-a", 1))));
            assertEquals(200, order(stand, target(1, "pair-a", Mode.RUNNING, 0)).statusCode());
            Stand.until(
                    "its copy stands and the step is taken", () -> status(stand).contains("share 0.25"));
            assertTrue(
                    stand.seen(Observation.LOAD_REQUESTED).stream()
                            .anyMatch(one -> one.model().equals("pair-a@2")),
                    "loaded ahead");
            Set<String> few = onNew(stand, 120);
            assertTrue(few.size() > 12 && few.size() < 50, "a quarter of 120: " + few.size());
            assertEquals(few, onNew(stand, 120), "a key keeps its version");
            long begun = System.nanoTime();
            assertEquals(
                    200, order(stand, target(2, "pair-a", Mode.ROLLED_BACK, 0)).statusCode());
            assertEquals(Set.of(), onNew(stand, 40));
            assertTrue(System.nanoTime() - begun < 2_000_000_000L, "old traffic is restored within 2 s");
            HttpResponse<String> named = Stand.await(stand.client.sendAsync(
                    HttpRequest.newBuilder(stand.uri("/v2/models/pair-a/versions/7/infer"))
                            .POST(HttpRequest.BodyPublishers.ofString("{}"))
                            .build(),
                    HttpResponse.BodyHandlers.ofString()));
            assertEquals("7", version(named), "a call that names its version gets it");
        }
    }

    @Test
    void aRollbackWhileTheNewVersionStillLoadsLeavesNobodyOnIt() throws IOException {
        try (Stand stand = new Stand(Stand.FLEET.formatted(2), RULES)) {
            Stand.await(stand.send("pair-slow", 1));
            order(stand, target(1, "pair-slow", Mode.RUNNING, 1));
            Stand.until("the load is ordered", () -> stand.seen(Observation.LOAD_REQUESTED).stream()
                    .anyMatch(one -> one.model().equals("pair-slow@2")));
            assertEquals(
                    200,
                    order(stand, target(2, "pair-slow", Mode.ROLLED_BACK, 0)).statusCode());
            assertEquals(
                    200,
                    order(stand, target(3, "pair-slow", Mode.ROLLED_BACK, 0)).statusCode(),
                    "again is harmless");
            for (int i = 0; i < 20; i++) {
                HttpResponse<String> answer = Stand.await(stand.send("pair-slow", 1, "pearladder-key", "k" + i));
                assertEquals("1", version(answer));
            }
            assertTrue(stand.seen(Observation.ARRIVED).stream()
                    .noneMatch(one -> one.model().equals("pair-slow@2")));
        }
    }

    @Test
    void aVersionThatFailsEachCallIsTakenBackByTheRouterItself() throws IOException {
        RawEngine.Script script = (number, head, out, socket) ->
                RawEngine.plain(out, head.contains("/versions/2/") ? 500 : 200, "pearladder-copy: stood\r\n", "{}");
        try (RawEngine one = new RawEngine(script);
                RawEngine two = new RawEngine(script);
                Stand stand = Stand.of(Stand.RULES, one, two)) {
            order(stand, target(1, "pair-a", Mode.RUNNING, 0));
            Stand.until("the step is taken", () -> status(stand).contains("share 0.25"));
            for (int i = 0; i < 400 && !status(stand).contains("broken"); i++) {
                Stand.await(stand.send("pair-a", 1, "pearladder-key", "doc-" + i));
            }
            assertTrue(status(stand).contains("broken, share 0.00"), status(stand));
            assertEquals("1", version(Stand.await(stand.send("pair-a", 1, "pearladder-key", "doc-1"))));
        }
    }

    @Test
    void anOrderIsInForceAgainAfterARestartBeforeTheRouterIsReady() throws IOException {
        try (Stand stand = new Stand(Stand.FLEET.formatted(2), RULES)) {
            order(stand, target(1, "pair-a", Mode.RUNNING, 1));
            order(stand, target(2, "pair-a", Mode.ROLLED_BACK, 0));
            Stand.await(stand.router.stop().toCompletionStage().toCompletableFuture());
            stand.router = stand.startRouter("r1", "127.0.0.1:" + stand.fleet.discoveryPort(), RULES);
            assertTrue(status(stand).contains("epoch 2, rolled_back"), status(stand));
            HttpResponse<String> late = order(stand, target(1, "pair-a", Mode.RUNNING, 1));
            assertEquals(409, late.statusCode(), "an order from before, come late");
            Stand.until("it is ready", () -> stand.get("/v2/health/ready").statusCode() == 200);
            assertEquals("1", version(Stand.await(stand.send("pair-a", 1))));
        }
    }

    /** A router that was away while orders were given, by operators whose clocks are an hour apart. */
    @Test
    void aRouterThatWasAwayLearnsTheNewestOrderFromAnotherBeforeItIsReady() throws IOException {
        try (Stand stand = new Stand(Stand.FLEET.formatted(2), RULES)) {
            long hour = 3_600_000;
            RolloutTarget first = target(1, "pair-a", Mode.RUNNING, 1);
            RolloutTarget second = target(2, "pair-a", Mode.ROLLED_BACK, 0);
            order(stand, new RolloutTarget(1, first.plan(), first.mode(), 1, "ann", 5 * hour));
            String rules = RULES + "releases: {learn_from: [\"127.0.0.1:" + stand.router.adminPort() + "\"]}\n";
            String list = "127.0.0.1:" + stand.fleet.discoveryPort();
            Router away = stand.startRouter("r2", list, rules);
            Stand.until("it learns", () -> newest(stand, away).contains("\"epoch\":1"));
            Stand.await(away.stop().toCompletionStage().toCompletableFuture());
            assertEquals(
                    200,
                    order(stand, new RolloutTarget(2, second.plan(), second.mode(), 0, "ben", 4 * hour))
                            .statusCode(),
                    "the epoch counts, whatever the clocks say");
            Router back = stand.startRouter("r2", list, rules);
            try {
                while (Stand.await(stand.client.sendAsync(
                                        HttpRequest.newBuilder(URI.create(
                                                        "http://127.0.0.1:" + back.port() + "/v2/health/ready"))
                                                .build(),
                                        HttpResponse.BodyHandlers.discarding()))
                                .statusCode()
                        != 200) {
                    Thread.onSpinWait();
                }
                assertTrue(newest(stand, back).contains("\"epoch\":2"), "it was ready with an old order");
                order(stand, target(3, "pair-a", Mode.PAUSED, 0));
                Stand.until(
                        "it learns later ones too", () -> newest(stand, back).contains("\"epoch\":3"));
            } finally {
                Stand.await(back.stop().toCompletionStage().toCompletableFuture());
            }
            String sum = newest(stand, stand.router).replaceAll(".*\"sum\":\"([0-9a-f]+)\".*", "$1");
            assertTrue(
                    Stand.await(stand.client.sendAsync(
                                    HttpRequest.newBuilder(admin(stand, "/releases/newest?sum=" + sum))
                                            .build(),
                                    HttpResponse.BodyHandlers.ofString()))
                            .body()
                            .endsWith("\"targets\":[]}"),
                    "the same is not told twice");
        }
    }

    private static String newest(Stand stand, Router router) {
        return Stand.await(stand.client.sendAsync(
                        HttpRequest.newBuilder(
                                        URI.create("http://127.0.0.1:" + router.adminPort() + "/releases/newest"))
                                .build(),
                        HttpResponse.BodyHandlers.ofString()))
                .body();
    }

    /**
     * Killed after the journal had the order and before the operator had the answer: ordered again, it is no other
     * order.
     */
    @Test
    void anOrderWhoseAnswerWasLostIsInForceAndMayBeGivenAgain() throws IOException {
        try (Stand stand = new Stand(Stand.FLEET.formatted(1), RULES)) {
            Stand.await(stand.router.stop().toCompletionStage().toCompletableFuture());
            try (RolloutJournal journal = RolloutJournal.open(stand.folder.resolve("r1"))) {
                journal.append(List.of(target(1, "pair-a", Mode.PAUSED, 0)));
            }
            stand.router = stand.startRouter("r1", "127.0.0.1:" + stand.fleet.discoveryPort(), RULES);
            assertTrue(status(stand).contains("epoch 1, paused"), status(stand));
            assertEquals(200, order(stand, target(1, "pair-a", Mode.PAUSED, 0)).statusCode());
            assertEquals(409, order(stand, target(1, "pair-a", Mode.RUNNING, 0)).statusCode());
        }
    }

    @Test
    void aStepThatWasReachedIsStoodAtAgainAfterARestart() throws IOException {
        try (Stand stand = new Stand(Stand.FLEET.formatted(3), RULES)) {
            order(stand, target(1, "pair-a", Mode.RUNNING, 0));
            Stand.until("the step is taken", () -> status(stand).contains("share 0.25"));
            Set<String> few = onNew(stand, 80);
            Stand.await(stand.router.stop().toCompletionStage().toCompletableFuture());
            stand.router = stand.startRouter("r1", "127.0.0.1:" + stand.fleet.discoveryPort(), RULES);
            Stand.until("it is ready", () -> stand.get("/v2/health/ready").statusCode() == 200);
            assertEquals(few, onNew(stand, 80), "no key moves back for a restart");
        }
    }

    @Test
    void aVersionThatNeverFinishesLoadingGetsNoCallAndOneThatNobodyOrderedNeither() throws IOException {
        RawEngine.Script script = (number, head, out, socket) -> {
            if (head.contains("/load ")) {
                return;
            }
            String index = "[{\"name\":\"pair-a\",\"version\":\"9\",\"state\":\"READY\"},"
                    + "{\"name\":\"pair-a@9\",\"state\":\"READY\"}]";
            RawEngine.plain(
                    out,
                    200,
                    "pearladder-copy: stood\r\n",
                    head.contains("index")
                            ? index
                            : "{\"model_name\":\"pair-a\",\"model_version\":\"9\",\"outputs\":[]}");
        };
        try (RawEngine one = new RawEngine(script);
                RawEngine two = new RawEngine(script);
                Stand stand = Stand.of(RULES, one, two)) {
            order(stand, target(1, "pair-a", Mode.RUNNING, 1));
            Stand.until(
                    "the load is ordered",
                    () -> one.heads.stream().anyMatch(head -> head.contains("/load "))
                            || two.heads.stream().anyMatch(head -> head.contains("/load ")));
            for (int i = 0; i < 60; i++) {
                HttpResponse<String> answer = Stand.await(stand.send("pair-a", 1, "pearladder-key", "doc-" + i));
                assertEquals("settled", Stand.state(answer), "the old version goes on");
                assertEquals("1", version(answer));
            }
            assertTrue(status(stand).contains("share 0.00"), status(stand));
            assertTrue(one.heads.stream()
                    .noneMatch(head -> head.contains("versions/2/infer") || head.contains("versions/9/infer")));
        }
    }

    @Test
    void ordersOnManyModelsAreKeptInOneGoAndEachIsAnswered() throws IOException {
        try (Stand stand = new Stand(Stand.FLEET.formatted(1), RULES)) {
            List<RolloutTarget> many = new ArrayList<>();
            for (int i = 0; i < 200; i++) {
                many.add(target(1, i == 70 ? "other" : "pair-" + i, Mode.PAUSED, 0));
            }
            HttpResponse<String> answer = Stand.await(stand.client.sendAsync(
                    HttpRequest.newBuilder(admin(stand, "/releases"))
                            .POST(HttpRequest.BodyPublishers.ofString(JSON.writeValueAsString(many)))
                            .build(),
                    HttpResponse.BodyHandlers.ofString()));
            assertEquals(409, answer.statusCode());
            assertEquals(200, JSON.readTree(answer.body()).path("refused").size());
            assertTrue(JSON.readTree(answer.body())
                    .path("refused")
                    .path(70)
                    .asText()
                    .contains("unknown model other"));
            assertEquals(199, JSON.readTree(status(stand)).path("targets").size());
        }
    }

    @Test
    void whatIsNoOrderIsRefusedInWords() throws IOException {
        try (Stand stand = new Stand(Stand.FLEET.formatted(1), RULES)) {
            assertTrue(order(stand, target(1, "other", Mode.RUNNING, 0)).body().contains("unknown model other"));
            assertEquals(409, order(stand, target(1, "pair-a", Mode.RUNNING, 5)).statusCode());
            for (String body : List.of("", "{", "[]", "{\"epoch\":1}", "{\"epoch\":\"x\"}")) {
                HttpResponse<String> answer = Stand.await(stand.client.sendAsync(
                        HttpRequest.newBuilder(admin(stand, "/releases"))
                                .POST(HttpRequest.BodyPublishers.ofString(body))
                                .build(),
                        HttpResponse.BodyHandlers.ofString()));
                assertEquals(400, answer.statusCode(), body + " -> " + answer.body());
            }
        }
    }

    @Test
    void aTornTailIsCutOffAndDamageBeforeItIsAnError(@TempDir Path folder) throws IOException {
        Path file = folder.resolve("releases.journal");
        try (RolloutJournal journal = RolloutJournal.open(folder)) {
            for (int epoch = 1; epoch <= 3; epoch++) {
                journal.append(List.of(target(epoch, "pair-a", Mode.RUNNING, 0)));
            }
            assertTrue(assertThrows(IOException.class, () -> RolloutJournal.open(folder))
                    .getMessage()
                    .contains("held by another router"));
        }
        byte[] whole = Files.readAllBytes(file);
        int last = whole.length
                - new String(whole, StandardCharsets.UTF_8)
                        .lines()
                        .reduce((a, b) -> b)
                        .orElseThrow()
                        .length()
                - 1;
        for (int cut = last + 1; cut < whole.length; cut += 7) {
            Files.write(file, java.util.Arrays.copyOf(whole, cut));
            try (RolloutJournal journal = RolloutJournal.open(folder)) {
                assertEquals(
                        List.of(1L, 2L),
                        journal.targets().stream().map(RolloutTarget::epoch).toList(),
                        "cut at " + cut);
                journal.append(List.of(target(9, "pair-a", Mode.PAUSED, 0)));
            }
            try (RolloutJournal journal = RolloutJournal.open(folder)) {
                assertEquals(
                        List.of(1L, 2L, 9L),
                        journal.targets().stream().map(RolloutTarget::epoch).toList());
            }
        }
        byte[] damaged = whole.clone();
        damaged[20] ^= 1;
        Files.write(file, damaged);
        assertTrue(assertThrows(IOException.class, () -> RolloutJournal.open(folder))
                .getMessage()
                .contains("line 1 is damaged"));
    }

    @Test
    void aLongJournalIsMadeShortAndKeepsTheNewestOfEachModel(@TempDir Path folder) throws IOException {
        try (RolloutJournal journal = RolloutJournal.open(folder)) {
            journal.append(List.of(target(5, "pair-old", Mode.ROLLED_BACK, 0)));
            for (int epoch = 1; epoch <= 1005; epoch++) {
                journal.append(List.of(target(epoch, "pair-a", Mode.RUNNING, 0)));
            }
            journal.append(new RolloutProgress("pair-a", 1004, 0, true));
            journal.append(new RolloutProgress("pair-a", 1005, 1, false));
            journal.append(new RolloutProgress("pair-gone", 1, 1, false));
        }
        Files.writeString(folder.resolve("releases.journal"), "torn", StandardOpenOption.APPEND);
        try (RolloutJournal journal = RolloutJournal.open(folder)) {
            List<RolloutTarget> orders = new ArrayList<>(journal.targets());
            assertEquals(201, orders.size());
            assertEquals(
                    List.of(new RolloutProgress("pair-a", 1005, 1, false)),
                    journal.progress(),
                    "older ones say nothing");
            assertEquals(target(5, "pair-old", Mode.ROLLED_BACK, 0), orders.get(0));
            assertEquals(1005, orders.get(200).epoch());
        }
    }
}
