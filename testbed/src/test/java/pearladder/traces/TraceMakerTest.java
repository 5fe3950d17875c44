package pearladder.traces;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.stream.Collectors;
import org.junit.jupiter.api.Test;

/** Checks the content of synthetic traces. */
class TraceMakerTest {
    @Test
    void syntheticTraceIsOrderedFollowsItsSettingsAndIsReproducible() {
        TraceGenerator.Settings terms = new TraceGenerator.Settings(1000, 1, 50, 120, 0.2, 0.5, 20, 7);
        TraceInfo first = new TraceInfo();
        TraceGenerator.generate(terms, first);
        TraceInfo second = new TraceInfo();
        List<TraceRequest> requests = new ArrayList<>();
        TraceGenerator.generate(terms, request -> {
            requests.add(request);
            second.accept(request);
        });
        assertEquals(first.digest(), second.digest());
        List<Long> times = requests.stream().map(TraceRequest::at).toList();
        assertEquals(times.stream().sorted().toList(), times);
        assertTrue(requests.size() > 4000 && requests.size() < 8000, "6000 calls: " + requests.size());
        Map<String, Long> pulses = requests.stream()
                .filter(request -> request.model().startsWith("timer-"))
                .collect(Collectors.groupingBy(TraceRequest::model, Collectors.counting()));
        assertEquals(300, pulses.size());
        assertTrue(pulses.values().stream().allMatch(count -> count == 4), "each timer pulses every 30 s");
    }
}
