package pearladder.testbed;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import pearladder.config.YamlParser;

/** Which requests a script and its seed draw. */
class SyntheticWorkloadTest {
    private static List<RequestSource.ScheduledRequest> requests(ScenarioPlan plan) {
        SyntheticWorkload traffic = new SyntheticWorkload(plan);
        List<RequestSource.ScheduledRequest> drawn = new ArrayList<>();
        RequestSource.ScheduledRequest next;
        while ((next = traffic.next()) != null) {
            drawn.add(next);
        }
        return drawn;
    }

    @Test
    void sameSeedDrawsSameRequestsAndAnotherSeedOthers() {
        assertEquals(requests(TestScenarios.plan(1)), requests(TestScenarios.plan(1)));
        assertNotEquals(requests(TestScenarios.plan(1)), requests(TestScenarios.plan(2)));
    }

    @Test
    void loadFollowsTheScript() {
        List<RequestSource.ScheduledRequest> drawn = requests(TestScenarios.plan(1));
        long before = drawn.stream().filter(c -> c.dueAfter() < 2_000_000_000L).count();
        long burst = drawn.stream()
                .filter(c -> c.dueAfter() >= 2_000_000_000L && c.dueAfter() < 6_000_000_000L)
                .count();
        assertTrue(before > 60 && before < 140, "100 in 2 s: " + before);
        assertTrue(burst > 480 && burst < 720, "600 in 4 s of three times the rate: " + burst);
        long once = drawn.stream().filter(c -> c.model().contains("once-")).count();
        assertTrue(once > 60 && once < 140, "half of 200: " + once);
        assertEquals(
                once,
                drawn.stream()
                        .map(RequestSource.ScheduledRequest::model)
                        .filter(m -> m.contains("once-"))
                        .distinct()
                        .count());
        double sends = drawn.stream().filter(c -> c.model().startsWith("send-")).count() / (double) drawn.size();
        assertTrue(sends > 0.25 && sends < 0.35, "share of the second flow: " + sends);
    }

    @Test
    void rateVariesAndPopularityShifts() {
        ScenarioPlan plan = ScenarioPlan.read(
                YamlParser.parse(
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
        List<RequestSource.ScheduledRequest> drawn = requests(plan);
        long high = drawn.stream()
                .filter(request -> request.dueAfter() < 20_000_000_000L)
                .count();
        assertTrue(high > 2.2 * (drawn.size() - high), high + " of " + drawn.size() + " in the first half");
        for (int i = 0; i < 4; i++) {
            String hot = "m-" + i;
            long from = i * 10_000_000_000L;
            List<RequestSource.ScheduledRequest> now = drawn.stream()
                    .filter(request -> request.dueAfter() >= from && request.dueAfter() < from + 10_000_000_000L)
                    .toList();
            assertTrue(
                    now.stream().filter(request -> request.model().equals(hot)).count() > 0.8 * now.size(), hot);
        }
        assertEquals(700_000_000L, plan.fleet().modelOf("m-1").fetchNanos());
        assertEquals(300_000_000L, plan.fleet().modelOf("m-1").startNanos(), 1);
    }
}
