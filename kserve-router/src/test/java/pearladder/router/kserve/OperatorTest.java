package pearladder.router.kserve;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Test;
import pearladder.config.ConfigErrors;
import pearladder.config.YamlParser;
import pearladder.rollout.RolloutPlan;
import pearladder.rollout.RolloutTarget;

class OperatorTest {
    private static List<RolloutPlan> plan(String from, String to) {
        return RolloutPlanParser.read(YamlParser.read(
                "p.yaml",
                "release: {model: pair-a, from: \"" + from + "\", to: \"" + to + "\", steps: [0.5, 1], hold: 10 s}"));
    }

    /** Two routers; one is away while an order is given, and ends in the newest state all the same. */
    @Test
    void ordersReachEveryRouterAndOneThatWasAwayCatchesUp() {
        try (Stand stand = new Stand(2)) {
            Router second = stand.startRouter("r2", "127.0.0.1:" + stand.fleet.discoveryPort(), Stand.RULES);
            String first = "127.0.0.1:" + stand.router.adminPort();
            RolloutClient both = new RolloutClient(List.of(first, "127.0.0.1:" + second.adminPort()), "ann");
            assertEquals(2, both.start(plan("", "2")).acceptedCount());
            Stand.await(second.stop().toCompletionStage().toCompletableFuture());
            RolloutClient.RolloutResult told = both.change(
                    List.of(), before -> new RolloutTarget(0, before.plan(), RolloutTarget.Mode.PAUSED, 0, "", 0));
            assertEquals(1, told.acceptedCount());
            assertTrue(
                    told.lines().stream().anyMatch(line -> line.contains("no answer")),
                    told.lines().toString());
            second = stand.startRouter("r2", "127.0.0.1:" + stand.fleet.discoveryPort(), Stand.RULES);
            both = new RolloutClient(List.of(first, "127.0.0.1:" + second.adminPort()), "ben");
            assertEquals(
                    2,
                    both.status().stream()
                            .filter(line -> line.contains("epoch 2, paused") || line.contains("epoch 1, running"))
                            .count(),
                    both.status().toString());
            assertEquals(
                    2,
                    both.change(
                                    List.of("pair-a"),
                                    before -> new RolloutTarget(
                                            0, before.plan(), RolloutTarget.Mode.ROLLED_BACK, 0, "", 0))
                            .acceptedCount());
            assertEquals(
                    2,
                    both.status().stream()
                            .filter(line -> line.contains("epoch 3, rolled_back"))
                            .count());
            assertTrue(both.history().stream().anyMatch(line -> line.contains("ben rolled_back pair-a to 2, epoch 3")));
            Stand.await(second.stop().toCompletionStage().toCompletableFuture());
        }
    }

    @Test
    void aPlanFromAVersionThatDoesNotServeIsRefused() {
        try (Stand stand = new Stand(1)) {
            RolloutClient operator = new RolloutClient(List.of("127.0.0.1:" + stand.router.adminPort()), "ann");
            assertEquals(1, operator.start(plan("", "2")).acceptedCount());
            RolloutClient.RolloutResult wrong = operator.start(plan("1", "3"));
            assertEquals(0, wrong.acceptedCount());
            assertTrue(
                    wrong.lines().get(0).contains("its calls get version \"2\", not \"1\""),
                    wrong.lines().toString());
            assertEquals(1, operator.start(plan("2", "3")).acceptedCount());
        }
    }

    @Test
    void aPlansMistakesAreNamedByLine() {
        List<String> lines = assertThrows(
                        ConfigErrors.ConfigException.class,
                        () -> RolloutPlanParser.read(
                                YamlParser.read(
                                        "p.yaml",
                                        """
                release:
                  from: "2"
                  to: "2"
                  steps: [0.5, 0.25, 2]
                  hold: 10
                  model: pair-a
                  when: now
                """)))
                .getMessage()
                .lines()
                .toList();
        assertEquals(5, lines.size(), lines.toString());
        assertTrue(lines.get(0).startsWith("p.yaml:3: release.to: the new version is the old one"), lines.get(0));
        assertTrue(lines.get(1).contains("a share of 0.25 after 0.5 does not rise"), lines.get(1));
        assertTrue(lines.get(2).contains("a share of 2.0 is more than all"), lines.get(2));
        assertTrue(lines.get(3).startsWith("p.yaml:5: release.hold"), lines.get(3));
        assertTrue(lines.get(4).startsWith("p.yaml:7: release.when: unknown key"), lines.get(4));
    }
}
