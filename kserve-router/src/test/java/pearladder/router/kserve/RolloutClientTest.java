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

/** An operator's commands to several routers, and the parser of rollout plans. */
class RolloutClientTest {
    private static List<RolloutPlan> plan(String from, String to) {
        return RolloutPlanParser.read(YamlParser.parse(
                "p.yaml",
                "release: {model: pair-a, from: \"" + from + "\", to: \"" + to + "\", steps: [0.5, 1], hold: 10 s}"));
    }

    /** One of two routers is down while a target is set, and receives the newest target later. */
    @Test
    void targetsReachEveryRouterAndAnUnavailableOneCatchesUp() {
        try (RouterHarness harness = new RouterHarness(2)) {
            Router second = harness.startRouter("r2", harness.discoveryAddress(), RouterHarness.CONFIG);
            String first = "127.0.0.1:" + harness.router.adminPort();
            RolloutClient client = new RolloutClient(List.of(first, "127.0.0.1:" + second.adminPort()), "ann");
            assertEquals(2, client.start(plan("", "2")).acceptedCount());
            RouterHarness.stop(second);
            RolloutClient.RolloutResult result = client.change(
                    List.of(), before -> new RolloutTarget(0, before.plan(), RolloutTarget.Mode.PAUSED, 0, "", 0));
            assertEquals(1, result.acceptedCount());
            assertTrue(
                    result.lines().stream().anyMatch(line -> line.contains("no answer")),
                    result.lines().toString());
            second = harness.startRouter("r2", harness.discoveryAddress(), RouterHarness.CONFIG);
            client = new RolloutClient(List.of(first, "127.0.0.1:" + second.adminPort()), "ben");
            assertEquals(
                    2,
                    client.status().stream()
                            .filter(line -> line.contains("epoch 2, paused") || line.contains("epoch 1, running"))
                            .count(),
                    client.status().toString());
            assertEquals(
                    2,
                    client.change(
                                    List.of("pair-a"),
                                    before -> new RolloutTarget(
                                            0, before.plan(), RolloutTarget.Mode.ROLLED_BACK, 0, "", 0))
                            .acceptedCount());
            assertEquals(
                    2,
                    client.status().stream()
                            .filter(line -> line.contains("epoch 3, rolled_back"))
                            .count());
            assertTrue(
                    client.history().stream().anyMatch(line -> line.contains("ben rolled_back pair-a to 2, epoch 3")));
            RouterHarness.stop(second);
        }
    }

    @Test
    void aPlanFromAVersionNotInServiceIsRefused() {
        try (RouterHarness harness = new RouterHarness(1)) {
            RolloutClient client = new RolloutClient(List.of("127.0.0.1:" + harness.router.adminPort()), "ann");
            assertEquals(1, client.start(plan("", "2")).acceptedCount());
            RolloutClient.RolloutResult refused = client.start(plan("1", "3"));
            assertEquals(0, refused.acceptedCount());
            assertTrue(
                    refused.lines().get(0).contains("its calls get version \"2\", not \"1\""),
                    refused.lines().toString());
            assertEquals(1, client.start(plan("2", "3")).acceptedCount());
        }
    }

    @Test
    void mistakesInAPlanAreReportedWithTheirLines() {
        List<String> lines = assertThrows(
                        ConfigErrors.ConfigException.class,
                        () -> RolloutPlanParser.read(
                                YamlParser.parse(
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
