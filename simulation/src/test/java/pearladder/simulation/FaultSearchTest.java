package pearladder.simulation;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import org.junit.jupiter.api.Test;
import pearladder.routing.StickyFirstFitPolicy;

class FaultSearchTest {
    @Test
    void findsTheSameWorstScenarioForAnyNumberOfJobs() throws IOException, InterruptedException {
        ObjectNode script = SmallScenario.script();
        script.remove("releases");
        script.remove("troubles");
        script.withObject("/day").put("lasting", "8 s");
        PrintStream discardedProgress = new PrintStream(new ByteArrayOutputStream(), false, StandardCharsets.UTF_8);
        FaultSearch.Found singleJob =
                FaultSearch.search(script, "small", StickyFirstFitPolicy::new, 6, 1, discardedProgress);
        FaultSearch.Found fourJobs =
                FaultSearch.search(script, "small", StickyFirstFitPolicy::new, 6, 4, discardedProgress);
        assertEquals(singleJob.script(), fourJobs.script());
        assertEquals(singleJob.credit(), fourJobs.credit());
        assertTrue(
                singleJob.credit() <= SmallScenario.run(script).credit(),
                "credit with faults exceeds credit without: " + singleJob.credit());
    }
}
