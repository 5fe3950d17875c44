package pearladder.testbed;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.file.Path;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import pearladder.config.ConfigErrors;
import pearladder.config.YamlParser;

/** How the file of an experiment becomes runs. */
class ExperimentPlanTest {
    @Test
    void gridHoldsEveryCombination(@TempDir Path folder) {
        ExperimentPlan plan = ExperimentPlan.read(
                YamlParser.parse(
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
    }

    @Test
    void listedSizesVaryTogether(@TempDir Path folder) {
        ExperimentPlan pairs = ExperimentPlan.read(
                YamlParser.parse(
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
    }

    @Test
    void reportsEveryMistake(@TempDir Path folder) {
        List<String> lines = assertThrows(
                        ConfigErrors.ConfigException.class,
                        () -> ExperimentPlan.read(
                                YamlParser.parse(
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
