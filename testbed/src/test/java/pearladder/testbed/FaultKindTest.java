package pearladder.testbed;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.Arrays;
import java.util.List;
import org.junit.jupiter.api.Test;
import pearladder.config.YamlParser;
import pearladder.testbed.ScenarioPlan.FaultKind;

/** The words for kinds of faults, which users' scripts hold. */
class FaultKindTest {
    private static final List<String> CODES = List.of(
            "burst",
            "one-offs",
            "heavy",
            "rolling-deploy",
            "release",
            "hall-lost",
            "routers-killed",
            "engines-killed",
            "failing",
            "slow",
            "ageing",
            "hang",
            "garble",
            "mass-restart",
            "late-reports",
            "slow-shelf",
            "refusing-shelf",
            "slow-handshakes",
            "cut",
            "reset",
            "list-silent",
            "list-cut",
            "list-lag",
            "lost-loads",
            "leak",
            "damaged-images",
            "split-list",
            "heedless",
            "wrong-model",
            "engines-paused",
            "one-way-cut",
            "routers-paused",
            "clock-jump");

    @Test
    void codesAreThoseOfExistingScripts() {
        assertEquals(
                CODES, Arrays.stream(FaultKind.values()).map(FaultKind::code).toList());
    }

    @Test
    void scriptsNameEachKindByItsCode() {
        for (FaultKind kind : FaultKind.values()) {
            String script = TestScenarios.SCRIPT
                    .formatted(1)
                    .replace("what: hall-lost", "what: " + kind.code())
                    .replace("fleet:", "fleet:\n  cables: true");
            ScenarioPlan plan = ScenarioPlan.read(YamlParser.parse("d.yaml", script));
            assertEquals(kind, plan.faults().get(3).kind());
        }
    }
}
