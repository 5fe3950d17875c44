package pearladder.simulation;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import pearladder.baseline.RandomChoice;
import pearladder.routing.StickyFirstFitPolicy;
import pearladder.testbed.InvariantChecker;
import pearladder.testbed.ScenarioPlan;

class SimulationTest {
    @Test
    void sameSeedGivesSameEventsAndAnotherSeedOthers() throws IOException {
        Simulation.Result first = SmallScenario.run(SmallScenario.script());
        Simulation.Result repeated = SmallScenario.run(SmallScenario.script());
        assertEquals(first.digest(), repeated.digest());
        assertEquals(first.events(), repeated.events());
        ObjectNode otherSeed = SmallScenario.script();
        otherSeed.withObject("/day").put("seed", 10);
        assertNotEquals(first.digest(), SmallScenario.run(otherSeed).digest());
    }

    @Test
    void faultyScenarioKeepsTheInvariantsAndEachOfThemIsChecked() throws IOException {
        Simulation.Result outcome = SmallScenario.run(SmallScenario.script());
        assertEquals(List.of(), outcome.verdict().violations());
        assertEquals(List.of(), outcome.failures());
        for (InvariantChecker.Invariant invariant : InvariantChecker.Invariant.values()) {
            assertTrue(outcome.verdict().checkedCounts().get(invariant) > 0, invariant + " was never checked");
        }
        assertTrue(outcome.requests() > 1200 && outcome.credit() > 0.5, outcome.requests() + " " + outcome.credit());
        Simulation.Result randomChoice = Simulation.run(SmallScenario.script(), "small", RandomChoice::new, null, null);
        assertTrue(
                randomChoice.credit() < outcome.credit(),
                "random choice must get less credit than the policy: " + randomChoice.credit());
    }

    @Test
    void eachKindOfFaultCanBeSimulatedAndBreaksNoInvariant() throws IOException {
        for (ScenarioPlan.FaultKind kind : ScenarioPlan.FaultKind.values()) {
            ObjectNode script = SmallScenario.script();
            script.remove("releases");
            script.withObject("/day").put("lasting", "6 s");
            script.putArray("troubles")
                    .addObject()
                    .put("at", "2 s")
                    .put("lasting", "2 s")
                    .put("share", 0.4)
                    .put("hall", "west")
                    .put("times", 3)
                    .put("what", kind.code());
            Simulation.Result outcome = SmallScenario.run(script);
            assertEquals(List.of(), outcome.failures(), kind.name());
            assertTrue(outcome.requests() > 500, kind + ": " + outcome.requests());
            assertEquals(List.of(), outcome.verdict().violations(), kind.name());
        }
    }

    /** Regression test: an attempt cancelled during a network cut reached its worker after the cut. */
    @Test
    void attemptCancelledDuringACutNeverArrives() throws IOException {
        ObjectNode script = SmallScenario.script();
        script.remove("releases");
        script.withObject("/day").put("lasting", "20 s");
        script.putArray("troubles")
                .addObject()
                .put("at", "2 s")
                .put("lasting", "12 s")
                .put("what", "cut")
                .put("share", 0.5);
        assertEquals(List.of(), SmallScenario.run(script).verdict().violations());
    }

    @Test
    void missedExpectationsAreReported(@TempDir Path out) throws IOException {
        ObjectNode script = SmallScenario.script();
        script.putObject("expect").put("credit", 1).put("worst_10_s", 1);
        Simulation.Result outcome = Simulation.run(script, "small", StickyFirstFitPolicy::new, out, null);
        assertEquals(2, outcome.failures().size(), outcome.failures().toString());
        assertTrue(outcome.failures().get(0).startsWith("expected a credit of 1.000 at the least, it was 0."));
        assertTrue(Files.readString(out.resolve("table.txt")).contains("fault: expected"));
    }
}
