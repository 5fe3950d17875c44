package pearladder.testbed;

import static org.junit.jupiter.api.Assertions.assertEquals;

import com.fasterxml.jackson.databind.JsonNode;
import org.junit.jupiter.api.Test;

/** That results add up. */
class ResultsTest {
    @Test
    void resultsAddUp() {
        JsonNode results = TestResults.results(1);
        assertEquals(4, results.path("calls").asLong());
        assertEquals(2.5 / 4, results.path("credit").asDouble(), 1e-9);
        assertEquals(0.5, results.path("worst10s").asDouble(), 1e-9);
        assertEquals(0.75, results.path("windows").get(0).path("credit").asDouble(), 1e-9);
        assertEquals(1, results.path("windows").get(0).path("legs").asLong());
        assertEquals(1, results.path("windows").get(1).path("orders").asLong());
        assertEquals(2.0, results.path("troubles").get(0).path("at_s").asDouble(), 1e-9);
    }
}
