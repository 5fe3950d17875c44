package pearladder.router.kserve;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.net.http.HttpResponse;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.Test;
import pearladder.emulator.Observation;

/** Requests through a router to emulated workers. */
class RouterTest {
    @Test
    void aRequestSucceedsAndTheNextUsesTheLoadedInstance() {
        try (RouterHarness harness = new RouterHarness(3)) {
            HttpResponse<String> first = RouterHarness.await(harness.send("pair-a", 5));
            assertEquals(200, first.statusCode(), first.body());
            assertEquals("settled", RouterHarness.outcome(first));
            assertEquals(
                    "load-begun", first.headers().firstValue("pearladder-copy").orElse(""));
            HttpResponse<String> second = RouterHarness.await(harness.send("pair-a", 5));
            assertEquals("stood", second.headers().firstValue("pearladder-copy").orElse(""));
            assertTrue(second.body().contains("\"model_name\":\"pair-a\""), second.body());
            assertEquals(2, harness.observations(Observation.RAN).size());
            assertEquals(
                    1,
                    harness.observations(Observation.RAN).stream()
                            .map(Observation::worker)
                            .distinct()
                            .count());
        }
    }

    @Test
    void concurrentRequestsEachGetOneResponse() {
        try (RouterHarness harness = new RouterHarness(3)) {
            List<CompletableFuture<HttpResponse<String>>> responses = new ArrayList<>();
            for (int i = 0; i < 200; i++) {
                responses.add(harness.send("pair-" + i % 10, 2));
            }
            long succeeded = responses.stream()
                    .map(RouterHarness::await)
                    .filter(response -> RouterHarness.outcome(response).equals("settled"))
                    .count();
            assertTrue(succeeded > 0);
            assertTrue(responses.stream().map(RouterHarness::await).allMatch(response -> List.of(
                            "settled", "dismissed", "terminated")
                    .contains(RouterHarness.outcome(response))));
        }
    }
}
