package pearladder.testbed;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import pearladder.config.ConfigErrors;
import pearladder.config.YamlParser;
import pearladder.emulator.Observation;

class ReportTest {
    private static final long S = 1_000_000_000L;

    private static ObjectNode results(long seed) {
        ScenarioPlan plan = ScenarioPlan.read(YamlParser.read(
                "d.yaml",
                """
                day: {name: "a <day>", lasting: 30 s, seed: %d, halls: [east], rate: 5}
                traffic: [{category: draft, models: pair-}]
                router: {categories: {draft: {expected: 1 s, abandon: 3 s, late_credit: 0.5, effect: retriable}}}
                fleet: {kinds: {std: {cores: 1, memory: 1 GB}}, models: [], engines: [{name: e, kind: std}]}
                """
                        .formatted(seed)));
        CategoryTerms draft = plan.rules().categories().get("draft");
        LoadStatistics books = new LoadStatistics();
        books.ended(draft, "", 1 * S, S / 10, LoadStatistics.End.SETTLED);
        books.ended(draft, "", 2 * S, 2 * S, LoadStatistics.End.LATE);
        books.ended(draft, "", 12 * S, 0, LoadStatistics.End.DISMISSED);
        books.ended(draft, "", 13 * S, S / 5, LoadStatistics.End.SETTLED);
        Map<InvariantChecker.Rule, Long> looked = new EnumMap<>(InvariantChecker.Rule.class);
        looked.put(InvariantChecker.Rule.ONE_ANSWER, 4L);
        List<Observation> tape = List.of(
                new Observation(7 * S, Observation.TROUBLE, "", "", 0, "", "", "slow e-0", 0),
                new Observation(8 * S, Observation.ARRIVED, "r", "c", 0, "e-0", "m", "", 0),
                new Observation(17 * S, Observation.ORDERED, "r", "", 0, "e-0", "m", "", 1));
        return Results.of(
                plan,
                books,
                new InvariantChecker.Verdict(List.of(), looked),
                List.of(),
                tape,
                5 * S,
                List.of("a <row>"));
    }

    @Test
    void aDaysResultsAddUp() {
        JsonNode results = results(1);
        assertEquals(4, results.path("calls").asLong());
        assertEquals(2.5 / 4, results.path("credit").asDouble(), 1e-9);
        assertEquals(0.5, results.path("worst10s").asDouble(), 1e-9);
        assertEquals(0.75, results.path("windows").get(0).path("credit").asDouble(), 1e-9);
        assertEquals(1, results.path("windows").get(0).path("legs").asLong());
        assertEquals(1, results.path("windows").get(1).path("orders").asLong());
        assertEquals(2.0, results.path("troubles").get(0).path("at_s").asDouble(), 1e-9);
    }

    @Test
    void aReportStandsAloneAndComparesRuns(@TempDir Path folder) throws IOException {
        for (int seed = 1; seed <= 2; seed++) {
            Path run = Files.createDirectories(folder.resolve("module.s" + seed));
            Results.write(run, results(seed));
        }
        String page = Files.readString(Report.write(folder));
        assertTrue(page.contains("<td>module<td>2<td>0.625<td>0.625<td>0.625"), "the mean over seeds");
        assertTrue(page.contains("a &lt;row&gt;") && !page.contains("<row>"));
        assertEquals(8, page.split("data:image/png;base64,iVBOR").length - 1, "two comparing, three for each run");
        assertTrue(!page.contains("http://") && !page.contains("https://"), "nothing is fetched from elsewhere");
    }

    @Test
    void aFolderWithoutResultsSaysSo(@TempDir Path folder) throws IOException {
        Files.writeString(folder.resolve(Results.FILE), "{\"torn\":");
        assertTrue(assertThrows(IOException.class, () -> Report.write(folder))
                .getMessage()
                .contains("no results.json"));
    }

    @Test
    void aGridIsEveryCombinationAndItsMistakesAreNamed(@TempDir Path folder) {
        ExperimentPlan plan = ExperimentPlan.read(
                YamlParser.read(
                        "e.yaml",
                        """
                experiment:
                  base: days/plain.yaml
                  vary: {policy: [module, random], engines: [8, 12], rate: [50, 0.5], seed: [1, 2, 3]}
                """),
                folder);
        assertEquals(
                24,
                plan.runs().stream().map(ExperimentPlan.Run::label).distinct().count());
        assertEquals("module-e8-q50.s1", plan.runs().get(0).label());
        assertEquals("random-e12-q0.5.s3", plan.runs().get(23).label());
        assertEquals(folder.resolve("days/plain.yaml"), plan.base());
        ExperimentPlan pairs = ExperimentPlan.read(
                YamlParser.read(
                        "e.yaml",
                        """
                experiment:
                  base: x
                  vary: {sizes: [{engines: 12, routers: 2}, {engines: 72, routers: 16}], seed: [1, 2]}
                """),
                folder);
        assertEquals(
                List.of("module-e12-r2.s1", "module-e12-r2.s2", "module-e72-r16.s1", "module-e72-r16.s2"),
                pairs.runs().stream().map(ExperimentPlan.Run::label).toList());
        List<String> lines = assertThrows(
                        ConfigErrors.Found.class,
                        () -> ExperimentPlan.read(
                                YamlParser.read(
                                        "e.yaml",
                                        """
                experiment:
                  base: x
                  vary: {policy: [best], speed: [2], colour: [red]}
                """),
                                folder))
                .getMessage()
                .lines()
                .toList();
        assertEquals(3, lines.size(), lines.toString());
        assertTrue(lines.get(0).contains("unknown policy \"best\"; write module or random"), lines.get(0));
        assertTrue(lines.get(1).contains("only a trace has a speed"), lines.get(1));
        assertTrue(lines.get(2).contains("experiment.vary.colour: unknown key"), lines.get(2));
    }
}
