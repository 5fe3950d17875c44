package pearladder.testbed;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import pearladder.config.ConfigErrors;
import pearladder.config.YamlParser;
import pearladder.emulator.Observation;
import pearladder.emulator.ObservationLog;

class DayPlanTest {
    private static final String DAY =
            """
            day: {name: d, lasting: 20 s, seed: %d, halls: [east, west], rate: 50}
            traffic:
              - {category: draft, share: 0.7, models: pair-, count: 10, work: 20 ms}
              - {category: draft, share: 0.3, models: send-, count: 3, skew: 0, work: 40 ms}
            troubles:
              - {at: 2 s, lasting: 4 s, what: burst, times: 3}
              - {at: 8 s, lasting: 4 s, what: one-offs, share: 0.5}
              - {at: 14 s, lasting: 2 s, what: slow, share: 0.5, times: 4}
              - {at: 15 s, lasting: 1 s, what: hall-lost, hall: west}
            router:
              categories:
                draft: {expected: 1 s, abandon: 3 s, effect: retriable}
            fleet:
              kinds: {std: {cores: 4, memory: 4 GB}}
              models: [{name: "*", memory: 400 MB}]
              engines: [{name: engine, count: 4, kind: std, halls: [east, west]}]
            """;

    private static ScenarioPlan plan(int seed) {
        return ScenarioPlan.read(YamlParser.read("d.yaml", DAY.formatted(seed)));
    }

    private static List<RequestSource.Drawn> all(ScenarioPlan plan) {
        SyntheticWorkload traffic = new SyntheticWorkload(plan);
        List<RequestSource.Drawn> drawn = new ArrayList<>();
        RequestSource.Drawn next;
        while ((next = traffic.next()) != null) {
            drawn.add(next);
        }
        return drawn;
    }

    @Test
    void theSameScriptDrawsTheSameCallsAndAnotherSeedOthers() {
        assertEquals(all(plan(1)), all(plan(1)));
        assertNotEquals(all(plan(1)), all(plan(2)));
    }

    @Test
    void trafficFollowsTheScript() {
        List<RequestSource.Drawn> drawn = all(plan(1));
        long before = drawn.stream().filter(c -> c.due() < 2_000_000_000L).count();
        long burst = drawn.stream()
                .filter(c -> c.due() >= 2_000_000_000L && c.due() < 6_000_000_000L)
                .count();
        assertTrue(before > 60 && before < 140, "100 in 2 s: " + before);
        assertTrue(burst > 480 && burst < 720, "600 in 4 s of three times the rate: " + burst);
        long once = drawn.stream().filter(c -> c.model().contains("once-")).count();
        assertTrue(once > 60 && once < 140, "half of 200: " + once);
        assertEquals(
                once,
                drawn.stream()
                        .map(RequestSource.Drawn::model)
                        .filter(m -> m.contains("once-"))
                        .distinct()
                        .count());
        double sends = drawn.stream().filter(c -> c.model().startsWith("send-")).count() / (double) drawn.size();
        assertTrue(sends > 0.25 && sends < 0.35, "share of the second flow: " + sends);
    }

    @Test
    void troublesComeInTheirOrderAndEnd() {
        List<String> done = new ArrayList<>();
        FaultInjector troubles = new FaultInjector(plan(1), new FaultInjector.World() {
            @Override
            public List<String> engines(String hall) {
                return hall.isEmpty() ? List.of("e0", "e1", "e2", "e3") : List.of("e1", "e3");
            }

            @Override
            public List<String> routers(String hall) {
                return List.of("r2");
            }

            @Override
            public void toEngines(String what, List<String> engines, String model, double figure) {
                done.add(what + engines.size() + " " + figure);
            }

            @Override
            public void toRouters(ScenarioPlan.Kind what, List<String> routers, double figure) {
                throw new AssertionError(what);
            }

            @Override
            public void heedless(boolean on) {
                throw new AssertionError("not in this script");
            }

            @Override
            public void killRouter(String router) {
                done.add("kill " + router);
            }

            @Override
            public void startRouter(String router) {
                done.add("start " + router);
            }

            @Override
            public void order(ReleaseScript.Order order) {
                done.add("order " + order.what());
            }

            @Override
            public void say(String what) {
                done.add(what.split(" ")[0]);
            }
        });
        assertEquals(2_000_000_000L, troubles.due(0));
        assertEquals(16_000_000_000L, troubles.due(15_500_000_000L));
        assertEquals(List.of("burst", "one-offs", "slow", "slow2 4.0", "hall-lost", "kill2 0.0", "kill r2"), done);
        done.clear();
        assertEquals(-1, troubles.due(16_000_000_000L));
        assertEquals(List.of("slow2 1.0", "restart2 0.0", "start r2"), done);
    }

    @Test
    void theRateGoesUpAndDownAndThePopularityMovesOn() {
        ScenarioPlan plan = ScenarioPlan.read(
                YamlParser.read(
                        "d.yaml",
                        """
                day: {lasting: 40 s, halls: [east], rate: 100, tide: {period: 40 s, swing: 0.8}}
                traffic: [{category: draft, models: m-, count: 10, skew: 4, shift: 10 s}]
                router: {categories: {draft: {expected: 1 s, abandon: 2 s, effect: retriable}}}
                fleet:
                  kinds: {std: {cores: 1, memory: 1 GB}}
                  models: [{name: "m-*", memory: 1 MB, load: 1 s, fetch_share: 0.7}]
                  engines: [{name: e, count: 1, kind: std}]
                """));
        List<RequestSource.Drawn> drawn = all(plan);
        long high = drawn.stream().filter(call -> call.due() < 20_000_000_000L).count();
        assertTrue(high > 2.2 * (drawn.size() - high), high + " of " + drawn.size() + " in the first half");
        for (int i = 0; i < 4; i++) {
            String hot = "m-" + i;
            long from = i * 10_000_000_000L;
            List<RequestSource.Drawn> now = drawn.stream()
                    .filter(call -> call.due() >= from && call.due() < from + 10_000_000_000L)
                    .toList();
            assertTrue(now.stream().filter(call -> call.model().equals(hot)).count() > 0.8 * now.size(), hot);
        }
        assertEquals(700_000_000L, plan.fleet().modelOf("m-1").fetchNanos());
        assertEquals(300_000_000L, plan.fleet().modelOf("m-1").startNanos(), 1);
    }

    @Test
    void aScriptsMistakesAreNamed() {
        String wrong = DAY.formatted(1)
                .replace("what: burst", "what: bursts")
                .replace("hall: west", "hall: north")
                .replace("at: 14 s", "at: 19 s")
                .replace("category: draft, share: 0.3", "category: post, share: 0.3");
        List<String> lines = assertThrows(
                        ConfigErrors.Found.class, () -> ScenarioPlan.read(YamlParser.read("d.yaml", wrong)))
                .getMessage()
                .lines()
                .toList();
        assertEquals(4, lines.size(), lines.toString());
        assertTrue(lines.get(0).startsWith("d.yaml:4: traffic[1].category: unknown category \"post\""), lines.get(0));
        assertTrue(lines.get(1).startsWith("d.yaml:6: troubles[0].what: unknown word \"bursts\""), lines.get(1));
        assertTrue(lines.get(2).startsWith("d.yaml:8: troubles[2].at: the trouble ends after the day"), lines.get(2));
        assertTrue(lines.get(3).startsWith("d.yaml:9: troubles[3].hall: unknown hall \"north\""), lines.get(3));
    }

    @Test
    void theFrontFeedsADeadRouterForAWhileAndThenItsNeighbours() {
        ClientLoadBalancer front = new ClientLoadBalancer(1000);
        front.add("r1", "east", 1);
        front.add("r2", "west", 2);
        assertEquals("r1", front.next("east", 0).router());
        front.died("r1", 100);
        assertEquals("r1", front.next("east", 1099).router());
        assertEquals("r2", front.next("east", 1100).router());
        front.back("r1");
        assertEquals("r1", front.next("east", 1200).router());
        front.died("r1", 0);
        front.died("r2", 0);
        assertEquals(
                2,
                java.util.stream.Stream.of(front.next("west", 5000), front.next("west", 5000))
                        .distinct()
                        .count(),
                "where all are dead it goes on feeding all");
    }

    @Test
    void aTapeIsReadAsItWasWrittenAndATornLastLineIsCounted(@TempDir Path folder) throws IOException {
        Path file = folder.resolve("t.tape");
        List<Observation> lines = List.of(
                new Observation(5, Observation.SENT, "r", "c\"1", 0, "", "m", "draft", 2.5),
                new Observation(7, Observation.ARRIVED, "r", "c", 2, "e", "m", "", 0));
        try (ObservationLog tape = new ObservationLog(file)) {
            lines.forEach(tape);
        }
        List<Observation> read = new ArrayList<>();
        assertEquals(0, ObservationLog.read(file, read::add));
        assertEquals(lines, read);
        String text = Files.readString(file);
        Files.writeString(file, text.substring(0, text.length() - 9));
        read.clear();
        assertEquals(1, ObservationLog.read(file, read::add));
        assertEquals(lines.subList(0, 1), read);
    }
}
