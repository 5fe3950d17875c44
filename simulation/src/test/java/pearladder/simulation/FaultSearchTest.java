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
        PrintStream quiet = new PrintStream(new ByteArrayOutputStream(), false, StandardCharsets.UTF_8);
        FaultSearch.Found one = FaultSearch.search(script, "small", StickyFirstFitPolicy::new, 6, 1, quiet);
        FaultSearch.Found more = FaultSearch.search(script, "small", StickyFirstFitPolicy::new, 6, 4, quiet);
        assertEquals(one.script(), more.script());
        assertEquals(one.credit(), more.credit());
        assertTrue(one.credit() <= SmallScenario.run(script).credit(), "faults earn nothing: " + one.credit());
    }
}
