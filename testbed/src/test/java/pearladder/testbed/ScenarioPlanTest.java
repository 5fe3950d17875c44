package pearladder.testbed;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Test;
import pearladder.config.ConfigErrors;
import pearladder.config.YamlParser;

/** How scripts are read. */
class ScenarioPlanTest {
    @Test
    void reportsEveryMistakeWithItsLine() {
        String wrong = TestScenarios.SCRIPT
                .formatted(1)
                .replace("what: burst", "what: bursts")
                .replace("hall: west", "hall: north")
                .replace("at: 14 s", "at: 19 s")
                .replace("category: draft, share: 0.3", "category: post, share: 0.3");
        List<String> lines = assertThrows(
                        ConfigErrors.ConfigException.class, () -> ScenarioPlan.read(YamlParser.parse("d.yaml", wrong)))
                .getMessage()
                .lines()
                .toList();
        assertEquals(4, lines.size(), lines.toString());
        assertTrue(lines.get(0).startsWith("d.yaml:4: traffic[1].category: unknown category \"post\""), lines.get(0));
        assertTrue(lines.get(1).startsWith("d.yaml:6: troubles[0].what: unknown word \"bursts\""), lines.get(1));
        assertTrue(lines.get(2).startsWith("d.yaml:8: troubles[2].at: the trouble ends after the day"), lines.get(2));
        assertTrue(lines.get(3).startsWith("d.yaml:9: troubles[3].hall: unknown hall \"north\""), lines.get(3));
    }
}
