package pearladder.router.kserve;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.net.http.HttpResponse;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.Test;
import pearladder.emulator.Observation;

class RouterTest {
    @Test
    void aCallGoesThroughAndTheNextFindsItsCopy() {
        try (Stand stand = new Stand(3)) {
            HttpResponse<String> first = Stand.await(stand.send("pair-a", 5));
            assertEquals(200, first.statusCode(), first.body());
            assertEquals("settled", Stand.state(first));
            assertEquals(
                    "load-begun", first.headers().firstValue("pearladder-copy").orElse(""));
            HttpResponse<String> second = Stand.await(stand.send("pair-a", 5));
            assertEquals("stood", second.headers().firstValue("pearladder-copy").orElse(""));
            assertTrue(second.body().contains("\"model_name\":\"pair-a\""), second.body());
            assertEquals(2, stand.seen(Observation.RAN).size());
            assertEquals(
                    1,
                    stand.seen(Observation.RAN).stream()
                            .map(Observation::worker)
                            .distinct()
                            .count());
        }
    }

    @Test
    void manyCallsAtOnceGetOneAnswerEach() {
        try (Stand stand = new Stand(3)) {
            List<CompletableFuture<HttpResponse<String>>> all = new ArrayList<>();
            for (int i = 0; i < 200; i++) {
                all.add(stand.send("pair-" + i % 10, 2));
            }
            long settled = all.stream()
                    .map(Stand::await)
                    .filter(r -> Stand.state(r).equals("settled"))
                    .count();
            assertTrue(settled > 0);
            assertTrue(all.stream().map(Stand::await).allMatch(r -> List.of("settled", "dismissed", "terminated")
                    .contains(Stand.state(r))));
        }
    }
}
