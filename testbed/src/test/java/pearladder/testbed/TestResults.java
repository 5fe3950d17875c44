package pearladder.testbed;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import pearladder.config.YamlParser;
import pearladder.emulator.Observation;

/** Results of a small scenario that several tests use. */
final class TestResults {
    private static final long SECOND = 1_000_000_000L;

    private TestResults() {}

    /** The results of four requests, with one fault. */
    static ObjectNode results(long seed) {
        ScenarioPlan plan = ScenarioPlan.read(YamlParser.parse(
                "d.yaml",
                """
                day: {name: "a <day>", lasting: 30 s, seed: %d, halls: [east], rate: 5}
                traffic: [{category: draft, models: pair-}]
                router: {categories: {draft: {expected: 1 s, abandon: 3 s, late_credit: 0.5, effect: retriable}}}
                fleet: {kinds: {std: {cores: 1, memory: 1 GB}}, models: [], engines: [{name: e, kind: std}]}
                """
                        .formatted(seed)));
        RequestClassTerms draft = plan.invariantSettings().requestClasses().get("draft");
        LoadStatistics statistics = new LoadStatistics();
        statistics.recordEnd(draft, "", 1 * SECOND, SECOND / 10, LoadStatistics.End.SETTLED);
        statistics.recordEnd(draft, "", 2 * SECOND, 2 * SECOND, LoadStatistics.End.LATE);
        statistics.recordEnd(draft, "", 12 * SECOND, 0, LoadStatistics.End.DISMISSED);
        statistics.recordEnd(draft, "", 13 * SECOND, SECOND / 5, LoadStatistics.End.SETTLED);
        Map<InvariantChecker.Invariant, Long> checkedCounts = new EnumMap<>(InvariantChecker.Invariant.class);
        checkedCounts.put(InvariantChecker.Invariant.ONE_ANSWER, 4L);
        List<Observation> observations = List.of(
                new Observation(7 * SECOND, Observation.FAULT_INJECTED, "", "", 0, "", "", "slow e-0", 0),
                new Observation(8 * SECOND, Observation.ARRIVED, "r", "c", 0, "e-0", "m", "", 0),
                new Observation(17 * SECOND, Observation.LOAD_REQUESTED, "r", "", 0, "e-0", "m", "", 1));
        return Results.of(
                plan,
                statistics,
                new InvariantChecker.Verdict(List.of(), checkedCounts),
                List.of(),
                observations,
                5 * SECOND,
                List.of("a <row>"));
    }
}
